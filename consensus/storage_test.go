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

// fullDisk is a store whose writes fail while isFull is set.
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

// Raft panics if it cannot store a vote. A disk that is full when a member has to store its vote
// must halt only the member's part in the record, not the process.
func TestFullDiskHaltsTheMember(t *testing.T) {
	addresses, isFull := freeAddresses(t, "a", "b", "c"), &atomic.Bool{}
	wrap := func(store raft.StableStore) raft.StableStore { return fullDisk{store, isFull} }
	a := startMemberWithStore(t, Config{Name: "a", Members: addresses, Folder: t.TempDir()}, wrap)
	others := map[string]*runningMember{
		"b": startMember(t, Config{Name: "b", Members: addresses}),
		"c": startMember(t, Config{Name: "c", Members: addresses}),
	}
	a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	start := time.Now()
	waitUntil(t, "a member other than a is the leader", func() bool {
		if r := a.current().raft; r.State() == raft.Leader {
			r.LeadershipTransfer().Error()
		}
		return others[a.status().Leader] != nil
	})
	isFull.Store(true)
	others[a.status().Leader].stop()
	// In the next election, member a votes for another member or for itself, and has to store its
	// vote in both cases.
	waitUntil(t, "member a is halted after the next election", a.halted.Load)
	if elapsed := time.Since(start); elapsed > testTimeout {
		t.Errorf("the leadership transfer and the halt took %s, want at most %s together", elapsed, testTimeout)
	}
	a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 3})
	a.waitFor(t, "proposal failed 1 3") // the proposal fails because member a is halted; the process continues
	a.stop()
}

func TestDamagedFolderIsRefused(t *testing.T) {
	addresses := freeAddresses(t, "a")
	newFolder := func(t *testing.T) string {
		folder := t.TempDir()
		a := startMember(t, Config{Name: "a", Members: addresses, Folder: folder})
		for seq := uint64(1); seq < 40; seq++ {
			a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: seq})
		}
		a.stop()
		return folder
	}
	for name, damage := range map[string]func(content []byte) []byte{
		"is truncated":      func(content []byte) []byte { return content[:len(content)/3] },
		"has other content": func([]byte) []byte { return bytes.Repeat([]byte("no record "), 2000) },
		"has its first pages overwritten": func(content []byte) []byte {
			return append(make([]byte, 8192), content[8192:]...)
		},
	} {
		t.Run("a record.db that "+name+" is refused with an error that names the folder", func(t *testing.T) {
			folder := newFolder(t)
			path := filepath.Join(folder, "record.db")
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(content), 0o600); err != nil {
				t.Fatal(err)
			}
			config := Config{Name: "a", Members: addresses, Folder: folder, Terms: testTerms}
			n, err := New(config, newEventLog(), discardLogger())
			if err == nil {
				n.current().close()
				n.transport.close()
			}
			if err == nil || !strings.Contains(err.Error(), folder) {
				t.Errorf("got error %v, want one that contains %q", err, folder)
			}
		})
	}
}

// If no snapshot can be read, New has to fail without changing the data on disk.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "voter-record"))); err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("found snapshots %v, error %v; want one", paths, err)
	}
	damaged := []byte("no snapshot")
	if err := os.WriteFile(paths[0], damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	config := Config{Name: "n0", Members: freeAddresses(t, "n0"), Folder: folder, Terms: testTerms}
	if _, err := New(config, newEventLog(), discardLogger()); err == nil || !strings.Contains(err.Error(), "snapshots") {
		t.Errorf("got error %v, want one that contains %q", err, "snapshots")
	}
	if content, err := os.ReadFile(paths[0]); err != nil || !bytes.Equal(content, damaged) {
		t.Errorf("New changed the snapshot: got %q, error %v, want %q", content, err, damaged)
	}
}
