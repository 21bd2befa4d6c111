package consensus

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

func TestChangesOfTheConfigurationAreAcceptedOnceEverywhere(t *testing.T) {
	at := freeAddresses(t, "a", "b", "c")
	var all []*runningMember
	var told []*fakeDistribution
	for _, name := range []string{"a", "b", "c"} {
		told = append(told, &fakeDistribution{})
		all = append(all, startMember(t, Config{Name: name, Members: at, Distribution: told[len(told)-1]}))
	}
	everywhere := func(mark distribution.Version) {
		t.Helper()
		digests := map[distribution.Digest]bool{}
		for i, s := range told {
			waitUntil(t, fmt.Sprint(i, " has ", mark), func() bool {
				digest, has := s.digestAt(mark)
				digests[digest] = has || digests[digest]
				return has
			})
		}
		if delete(digests, distribution.Digest{}); len(digests) != 1 {
			t.Errorf("they differ: %v", digests)
		}
	}
	var last distribution.Version
	for i, m := range all { // the leader among them, and others
		mark, differ := configure(t, m, entry("x", fmt.Sprint(i)), entry("y", "1"))
		if everywhere(mark); mark.Revision != uint64(i+1) || differ != 2-min(i, 1) {
			t.Errorf("%d: at %v, %d differ", i, mark, differ)
		}
		last = mark
	}
	if mark, differ := configure(t, all[0], entry("x", "2"), entry("y", "1")); mark != last || differ != 0 {
		t.Errorf("the same again is at %v, %d differ", mark, differ)
	}
	t.Run("what is refused changes nothing", func(t *testing.T) {
		for _, m := range all {
			_, _, err := m.ReplaceConfiguration(context.Background(), []distribution.Entry{entry("x", "2"), entry("y", "2"), {Name: "z"}})
			if !errors.Is(err, ErrChangeRefused) {
				t.Errorf("got %v", err)
			}
			_, err = m.ProposeChange(context.Background(), distribution.Proposal{Conditional: true, Entries: []distribution.Entry{entry("x", "3")}})
			if !errors.Is(err, distribution.ErrVersionMismatch) {
				t.Errorf("on an older base: %v", err)
			}
		}
		everywhere(last)
	})
	t.Run("a record that is led is current", func(t *testing.T) {
		for i, s := range told {
			waitUntil(t, fmt.Sprint(i, " is current"), func() bool {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				return s.currentCalls > 0
			})
		}
	})
	t.Run("one that lost all gets it again, and the configuration outlasts its leaders", func(t *testing.T) {
		all[2].stop()
		told[2] = &fakeDistribution{}
		all[2] = startMember(t, Config{Name: "c", Members: at, Distribution: told[2]})
		everywhere(last)
		mark, _ := configure(t, all[2], entry("y", "1"))
		everywhere(mark)
		if mark.Epoch != last.Epoch || mark.Revision != last.Revision+1 {
			t.Errorf("from %v to %v", last, mark)
		}
		last = mark
	})
	t.Run("a record that is founded anew has a newer epoch, and nothing before its first change", func(t *testing.T) {
		for _, m := range all {
			m.stop()
		}
		for i, name := range []string{"a", "b", "c"} {
			told[i] = &fakeDistribution{}
			all[i] = startMember(t, Config{Name: name, Members: at, Distribution: told[i]})
			all[i].noteEpoch(distribution.Epoch{Number: 1 << 40}) // greater than any clock says
		}
		all[0].commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		for _, s := range told {
			if s.snapshots+s.changes+s.currentCalls > 0 {
				t.Errorf("told of %+v", s)
			}
		}
		mark, _ := configure(t, all[1], entry("x", "1"))
		everywhere(mark)
		if !mark.Epoch.Newer(last.Epoch) || mark.Epoch.Number != 1<<40+1 || mark.Revision != 1 {
			t.Errorf("from %v to %v", last, mark)
		}
	})
}

func TestConfigureWithoutLeaderIsUnanswered(t *testing.T) {
	a := startMember(t, Config{Name: "a", Members: freeAddresses(t, "a", "b", "c"), Distribution: &fakeDistribution{}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := a.ReplaceConfiguration(ctx, []distribution.Entry{entry("x", "1")}); !errors.Is(err, ErrUnanswered) {
		t.Errorf("got %v", err)
	}
}

// On disk the configuration comes back from the snapshot and what followed it.
func TestConfigurationOnDiskSurvivesARestart(t *testing.T) {
	config := Config{Name: "a", Members: freeAddresses(t, "a"), Folder: t.TempDir(), Distribution: &fakeDistribution{}}
	a := startMember(t, config)
	configure(t, a, entry("x", "1"))
	r := a.current().raft
	if err := r.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	mark, _ := configure(t, a, entry("x", "2"))
	a.stop()
	told := &fakeDistribution{}
	config.Distribution = told
	startMember(t, config)
	waitUntil(t, "it has all", func() bool { _, has := told.digestAt(mark); return has })
	if told.snapshots != 1 || told.changes != 1 {
		t.Errorf("%d states and %d changes", told.snapshots, told.changes)
	}
}

// What cannot be read changes nothing, at every member alike.
func TestUnreadableEntryChangesNothing(t *testing.T) {
	m := machineWith(t, entry("x", "1"))
	var failed []string
	m.onUnreadable = func(err error) { failed = append(failed, err.Error()) }
	for _, data := range [][]byte{{0x82, 0x01}, {0x82, 0x09, 0xa0}, {0x80}} {
		if result := m.Apply(&raft.Log{Data: data}); result.(changeResult).err == nil {
			t.Errorf("%x was taken", data)
		}
	}
	if len(failed) != 3 || len(m.configuration.state().Entries) != 1 {
		t.Errorf("told %q, has %+v", failed, m.configuration.state())
	}
}
