package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wheelrill/ownership"
)

// Members must always share one record: they bootstrap it once, a member that lost its data joins
// it under a new ID, and only after the majority lost its data do they bootstrap another.
func TestMembersBootstrapAndKeepOneRecord(t *testing.T) {
	names := []string{"a", "b", "c"}
	t.Run("three members bootstrap one record, and each gets the entries of all", func(t *testing.T) {
		addresses, parent := freeAddresses(t, names...), t
		var members []*runningMember
		for _, name := range names {
			members = append(members, startMember(t, Config{Name: name, Members: addresses}))
		}
		for i, m := range members {
			m.commit(t, ownership.Entry{Member: names[i], Incarnation: uint64(i + 1), Seq: 1})
		}
		for _, m := range members {
			for i, name := range names {
				m.waitFor(t, fmt.Sprintf("entry committed %s %d 1", name, i+1))
			}
		}
		t.Run("a member that lost its data joins under a new ID, and its old ID is removed", func(t *testing.T) {
			oldID := members[2].ID()
			members[2].stop()
			members[0].commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 2})
			restarted := startMember(parent, Config{Name: "c", Members: addresses})
			restarted.commit(t, ownership.Entry{Member: "c", Incarnation: 30, Seq: 1})
			restarted.waitFor(t, "entry committed a 1 2")
			r := restarted.current().raft
			f := r.GetConfiguration()
			if f.Error() != nil || restarted.ID() == oldID || len(f.Configuration().Servers) != 3 ||
				strings.Contains(fmt.Sprint(f.Configuration()), oldID) {
				t.Errorf("members are %v with the new ID %s, want 3 members without the old ID %s",
					f.Configuration(), restarted.ID(), oldID)
			}
			members[2] = restarted
		})
		t.Run("after two members lost their data the third drops its record, and they bootstrap another", func(t *testing.T) {
			members[0].stop()
			members[1].stop()
			a := startMember(parent, Config{Name: "a", Members: addresses})
			b := startMember(parent, Config{Name: "b", Members: addresses})
			members[2].waitFor(t, "snapshot restored")
			a.commit(t, ownership.Entry{Member: "a", Incarnation: 50, Seq: 1})
			b.commit(t, ownership.Entry{Member: "b", Incarnation: 51, Seq: 1})
			members[2].waitFor(t, "entry committed a 50 1")
		})
	})
	t.Run("a restarted member with a folder keeps its ID, and no second process may use the folder", func(t *testing.T) {
		addresses, folder := freeAddresses(t, "a"), t.TempDir()
		a := startMember(t, Config{Name: "a", Members: addresses, Folder: folder})
		a.commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		second := Config{Name: "a", Members: freeAddresses(t, "a"), Folder: folder, Terms: testTerms}
		if _, err := New(second, newEventLog(), discardLogger()); err == nil {
			t.Error("a second Node opened a folder that is in use, want an error")
		}
		id := a.ID()
		a.stop()
		a = startMember(t, Config{Name: "a", Members: addresses, Folder: folder})
		if a.waitFor(t, "entry committed a 1 1"); a.ID() != id {
			t.Errorf("got ID %s after the restart, want %s", a.ID(), id)
		}
	})
	t.Run("without a majority no entry is committed, and each failed proposal is reported", func(t *testing.T) {
		a := startMember(t, Config{Name: "a", Members: freeAddresses(t, names...)})
		a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		a.waitFor(t, "proposal failed 1 1")
	})
}

func TestNewRefusesUnusableConfig(t *testing.T) {
	for want, config := range map[string]Config{
		"is not among them":        {Name: "z", Members: map[string]string{"a": "127.0.0.1:1"}},
		"allowed on loopback only": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0", "b": "192.0.2.1:7"}},
		"certificate and key": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0"},
			Credentials: Credentials{Certificate: "none.pem", Key: "none.pem", Authority: "none.pem"}},
	} {
		if _, err := New(config, newEventLog(), discardLogger()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	config := Config{Name: "a", Members: freeAddresses(t, "a"), Folder: file}
	if _, err := New(config, newEventLog(), discardLogger()); err == nil || !strings.Contains(err.Error(), "folder") {
		t.Errorf("a file as the folder: got error %v, want one that contains %q", err, "folder")
	}
}
