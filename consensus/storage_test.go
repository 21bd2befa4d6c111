package consensus

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// fullDisk is a disk that takes nothing from some moment on.
type fullDisk struct {
	raft.StableStore
	isFull *atomic.Bool
}

func (f fullDisk) SetUint64(key []byte, value uint64) error {
	if f.isFull.Load() {
		return errors.New("no space left on device")
	}
	return f.StableStore.SetUint64(key, value)
}

func (f fullDisk) Set(key, value []byte) error {
	if f.isFull.Load() {
		return errors.New("no space left on device")
	}
	return f.StableStore.Set(key, value)
}

// A disk that is full when a vote has to be kept ends the part in the record, not the process.
func TestFullDiskEndsThePartInTheRecord(t *testing.T) {
	at, isFull := freeAddresses(t, "a", "b", "c"), &atomic.Bool{}
	fill := func(store raft.StableStore) raft.StableStore { return fullDisk{store, isFull} }
	a := startMemberOn(t, Config{Name: "a", Members: at, Folder: t.TempDir()}, fill)
	others := map[string]*runningMember{
		"b": startMember(t, Config{Name: "b", Members: at}),
		"c": startMember(t, Config{Name: "c", Members: at}),
	}
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	began := time.Now()
	waitUntil(t, "somebody else leads", func() bool {
		if r := a.current().raft; r.State() == raft.Leader {
			r.LeadershipTransfer().Error()
		}
		return others[a.status().Leader] != nil
	})
	isFull.Store(true)
	others[a.status().Leader].stop()
	waitUntil(t, "the next election has it vote, or stand itself", a.halted.Load)
	if took := time.Since(began); took > testTimeout {
		t.Errorf("both took %s, want at most %s together", took, testTimeout)
	}
	a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 3})
	a.waitFor(t, "failed 1 3") // and so goes on without the record
	a.stop()
}

func TestDamagedFolderIsRefused(t *testing.T) {
	at := freeAddresses(t, "a")
	fresh := func(t *testing.T) string {
		folder := t.TempDir()
		a := startMember(t, Config{Name: "a", Members: at, Folder: folder})
		for seq := uint64(1); seq < 40; seq++ {
			a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: seq})
		}
		a.stop()
		return folder
	}
	for name, spoil := range map[string]func(text []byte) []byte{
		"is cut off":                      func(text []byte) []byte { return text[:len(text)/3] },
		"is something else":               func([]byte) []byte { return bytes.Repeat([]byte("no record "), 2000) },
		"has its first pages overwritten": func(text []byte) []byte { return append(make([]byte, 8192), text[8192:]...) },
	} {
		t.Run("a record that "+name+" is refused, with the folder named", func(t *testing.T) {
			folder := fresh(t)
			path := filepath.Join(folder, "record.db")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, spoil(text), 0o600); err != nil {
				t.Fatal(err)
			}
			n, err := New(Config{Name: "a", Members: at, Folder: folder, Terms: testTerms}, newEventLog(), discardLogger())
			if err == nil {
				n.current().close()
				n.transport.close()
			}
			if err == nil || !strings.Contains(err.Error(), folder) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Where no snapshot can be read New fails, and nothing on the disk is changed.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "voter-record"))); err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("snapshots %v, %v", paths, err)
	}
	damaged := []byte("no snapshot")
	if err := os.WriteFile(paths[0], damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	config := Config{Name: "n0", Members: freeAddresses(t, "n0"), Folder: folder, Terms: testTerms}
	if _, err := New(config, newEventLog(), discardLogger()); err == nil || !strings.Contains(err.Error(), "snapshots") {
		t.Errorf("got %v", err)
	}
	if text, err := os.ReadFile(paths[0]); err != nil || !bytes.Equal(text, damaged) {
		t.Errorf("the snapshot is %q now, %v", text, err)
	}
}
