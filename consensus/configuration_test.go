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

// A change that a member proposes has to reach every member once, whether or not that member leads.
// The configuration has to survive the loss of one member's data. A record that is bootstrapped
// again needs a newer epoch, so that its versions rank after all versions of the lost record.
func TestConfigurationChangeIsAppliedOnceAtEveryMember(t *testing.T) {
	addresses := freeAddresses(t, "a", "b", "c")
	var members []*runningMember
	var receivers []*fakeDistribution
	for _, name := range []string{"a", "b", "c"} {
		receiver := &fakeDistribution{}
		receivers = append(receivers, receiver)
		members = append(members, startMember(t, Config{Name: name, Members: addresses, Distribution: receiver}))
	}
	waitForVersion := func(version distribution.Version) {
		t.Helper()
		digests := map[distribution.Digest]bool{}
		for i, receiver := range receivers {
			waitUntil(t, fmt.Sprintf("member %d has version %v", i, version), func() bool {
				digest, reached := receiver.digestAt(version)
				digests[digest] = reached || digests[digest]
				return reached
			})
		}
		if delete(digests, distribution.Digest{}); len(digests) != 1 {
			t.Errorf("members have different digests at version %v: %v", version, digests)
		}
	}
	var last distribution.Version
	for i, m := range members { // each member, leader or follower, proposes one change
		version, differing := configure(t, m, entry("x", fmt.Sprint(i)), entry("y", "1"))
		if waitForVersion(version); version.Revision != uint64(i+1) || differing != 2-min(i, 1) {
			t.Errorf("change %d: got version %v with %d differing entries, want revision %d with %d",
				i, version, differing, i+1, 2-min(i, 1))
		}
		last = version
	}
	version, differing := configure(t, members[0], entry("x", "2"), entry("y", "1"))
	if version != last || differing != 0 {
		t.Errorf("the same entries again: got version %v with %d differing entries, want %v with 0", version, differing, last)
	}
	t.Run("a refused change leaves the record unchanged", func(t *testing.T) {
		for _, m := range members {
			wanted := []distribution.Entry{entry("x", "2"), entry("y", "2"), {Name: "z"}}
			_, _, err := m.ReplaceConfiguration(context.Background(), wanted)
			if !errors.Is(err, ErrChangeRefused) {
				t.Errorf("an entry without a scope: got error %v, want ErrChangeRefused", err)
			}
			_, err = m.ProposeChange(context.Background(),
				distribution.Proposal{Conditional: true, Entries: []distribution.Entry{entry("x", "3")}})
			if !errors.Is(err, distribution.ErrVersionMismatch) {
				t.Errorf("a proposal on an older base: got error %v, want ErrVersionMismatch", err)
			}
		}
		waitForVersion(last)
	})
	t.Run("every member of a record with a leader is current", func(t *testing.T) {
		for i, receiver := range receivers {
			waitUntil(t, fmt.Sprintf("member %d is current", i), func() bool {
				receiver.mutex.Lock()
				defer receiver.mutex.Unlock()
				return receiver.currentCalls > 0
			})
		}
	})
	t.Run("a member that lost its data gets the configuration again, and the epoch stays", func(t *testing.T) {
		members[2].stop()
		receivers[2] = &fakeDistribution{}
		members[2] = startMember(t, Config{Name: "c", Members: addresses, Distribution: receivers[2]})
		waitForVersion(last)
		version, _ := configure(t, members[2], entry("y", "1"))
		waitForVersion(version)
		if version.Epoch != last.Epoch || version.Revision != last.Revision+1 {
			t.Errorf("got version %v after %v, want the next revision of the same epoch", version, last)
		}
		last = version
	})
	t.Run("a record that is bootstrapped again has a newer epoch, and is empty before a change", func(t *testing.T) {
		for _, m := range members {
			m.stop()
		}
		for i, name := range []string{"a", "b", "c"} {
			receivers[i] = &fakeDistribution{}
			members[i] = startMember(t, Config{Name: name, Members: addresses, Distribution: receivers[i]})
			members[i].noteEpoch(distribution.Epoch{Number: 1 << 40}) // an epoch number above the current Unix time in seconds
		}
		members[0].commit(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		for i, receiver := range receivers {
			if receiver.snapshots+receiver.changes+receiver.currentCalls > 0 {
				t.Errorf("the distribution of member %d was called before the first change: %+v", i, receiver)
			}
		}
		version, _ := configure(t, members[1], entry("x", "1"))
		waitForVersion(version)
		if !version.Epoch.Newer(last.Epoch) || version.Epoch.Number != 1<<40+1 || version.Revision != 1 {
			t.Errorf("got version %v after %v, want revision 1 of epoch number %d", version, last, 1<<40+1)
		}
	})
}

func TestReplaceConfigurationWithoutLeaderIsUnanswered(t *testing.T) {
	a := startMember(t, Config{Name: "a", Members: freeAddresses(t, "a", "b", "c"), Distribution: &fakeDistribution{}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := a.ReplaceConfiguration(ctx, []distribution.Entry{entry("x", "1")}); !errors.Is(err, ErrUnanswered) {
		t.Errorf("got error %v, want ErrUnanswered", err)
	}
}

// With a folder, a restarted member restores the configuration from its snapshot and from the log
// entries after the snapshot.
func TestConfigurationOnDiskSurvivesARestart(t *testing.T) {
	config := Config{Name: "a", Members: freeAddresses(t, "a"), Folder: t.TempDir(), Distribution: &fakeDistribution{}}
	a := startMember(t, config)
	configure(t, a, entry("x", "1"))
	r := a.current().raft
	if err := r.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	version, _ := configure(t, a, entry("x", "2"))
	a.stop()
	receiver := &fakeDistribution{}
	config.Distribution = receiver
	startMember(t, config)
	waitUntil(t, fmt.Sprintf("the restarted member has version %v", version), func() bool {
		_, reached := receiver.digestAt(version)
		return reached
	})
	if receiver.snapshots != 1 || receiver.changes != 1 {
		t.Errorf("got %d states and %d changes, want 1 and 1", receiver.snapshots, receiver.changes)
	}
}

// An entry that cannot be decoded must not change the state machine, as members would otherwise
// diverge.
func TestUnreadableEntryChangesNothing(t *testing.T) {
	m := machineWith(t, entry("x", "1"))
	var unreadable []string
	m.onUnreadable = func(err error) { unreadable = append(unreadable, err.Error()) }
	for _, data := range [][]byte{{0x82, 0x01}, {0x82, 0x09, 0xa0}, {0x80}} {
		if result := m.Apply(&raft.Log{Data: data}); result.(changeResult).err == nil {
			t.Errorf("entry %x was applied, want an error", data)
		}
	}
	if len(unreadable) != 3 || len(m.configuration.state().Entries) != 1 {
		t.Errorf("got errors %q and state %+v, want 3 errors and 1 entry", unreadable, m.configuration.state())
	}
}
