package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wheelrill/ownership"
)

func TestMembersFoundKeepAndRefoundOneRecord(t *testing.T) {
	names := []string{"a", "b", "c"}
	t.Run("three found one record, each puts on it, and all have the same", func(t *testing.T) {
		at, story := freeAddresses(t, names...), t
		var all []*runningMember
		for _, name := range names {
			all = append(all, startMember(t, Config{Name: name, Members: at}))
		}
		for i, m := range all {
			m.commit(t, ownership.Entry{Member: names[i], Incarnation: uint64(i + 1), Seq: 1})
		}
		for _, m := range all {
			for i, name := range names {
				m.waitFor(t, fmt.Sprintf("recorded %s %d 1", name, i+1))
			}
		}
		t.Run("one that lost all comes under a new id, catches up, and its old one is gone", func(t *testing.T) {
			old := all[2].ID()
			all[2].stop()
			all[0].commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 2})
			back := startMember(story, Config{Name: "c", Members: at})
			back.commit(t, ownership.Entry{Member: "c", Incarnation: 30, Seq: 1})
			back.waitFor(t, "recorded a 1 2")
			r := back.current().raft
			f := r.GetConfiguration()
			if f.Error() != nil || back.ID() == old || len(f.Configuration().Servers) != 3 ||
				strings.Contains(fmt.Sprint(f.Configuration()), old) {
				t.Errorf("members %v, it was %s", f.Configuration(), old)
			}
			all[2] = back
		})
		t.Run("when two have lost all the third comes as new as well, and a record is founded again", func(t *testing.T) {
			all[0].stop()
			all[1].stop()
			a, b := startMember(story, Config{Name: "a", Members: at}), startMember(story, Config{Name: "b", Members: at})
			all[2].waitFor(t, "restored")
			a.commit(t, ownership.Entry{Member: "a", Incarnation: 50, Seq: 1})
			b.commit(t, ownership.Entry{Member: "b", Incarnation: 51, Seq: 1})
			all[2].waitFor(t, "recorded a 50 1")
		})
	})
	t.Run("on disk a member goes on as the one it was, and nobody else may use its folder", func(t *testing.T) {
		at, folder := freeAddresses(t, "a"), t.TempDir()
		a := startMember(t, Config{Name: "a", Members: at, Folder: folder})
		a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		if _, err := New(Config{Name: "a", Members: freeAddresses(t, "a"), Folder: folder, Terms: testTerms}, newEventLog(), discardLogger()); err == nil {
			t.Error("two processes on one folder")
		}
		id := a.ID()
		a.stop()
		a = startMember(t, Config{Name: "a", Members: at, Folder: folder})
		if a.waitFor(t, "recorded a 1 1"); a.ID() != id {
			t.Errorf("it is %s, and was %s", a.ID(), id)
		}
	})
	t.Run("alone of three nothing stands, and each try is told", func(t *testing.T) {
		a := startMember(t, Config{Name: "a", Members: freeAddresses(t, names...)})
		a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		a.waitFor(t, "failed 1 1")
	})
}

func TestNewRefusesWhatCannotBeUsed(t *testing.T) {
	for why, config := range map[string]Config{
		"is not among them":        {Name: "z", Members: map[string]string{"a": "127.0.0.1:1"}},
		"allowed on loopback only": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0", "b": "192.0.2.1:7"}},
		"certificate and key": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0"},
			Credentials: Credentials{Certificate: "none.pem", Key: "none.pem", Authority: "none.pem"}},
	} {
		if _, err := New(config, newEventLog(), discardLogger()); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("got %v, not %q", err, why)
		}
	}
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Name: "a", Members: freeAddresses(t, "a"), Folder: folder}, newEventLog(), discardLogger()); err == nil ||
		!strings.Contains(err.Error(), "folder") {
		t.Errorf("got %v", err)
	}
}
