package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wheelrill/internal/golden"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// transcript sums up all that nodes ask of their hosts, with the numbers and bytes that do not change with names.
type transcript struct{ sum *xxhash.Digest }

func newTranscript() *transcript { return &transcript{xxhash.New()} }

// note adds a call of a member's host. The nil transcript notes nothing.
func (t *transcript) note(m *member, format string, args ...any) {
	if t != nil {
		fmt.Fprintf(t.sum, "%d %s ", m.cluster.now, m.config.Name)
		fmt.Fprintf(t.sum, format+"\n", args...)
	}
}

// encoded is a value as it goes over the wire.
func encoded(value any) []byte {
	bytes, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // the types are those of messages
	}
	return bytes
}

// unrest is a sequence of changes and failures that a seed determines.
type unrest struct {
	*cluster
	random      *rand.Rand
	voters      []*member
	subscribers []*member
}

func newUnrest(seed uint64) *unrest {
	limits := DefaultLimits()
	limits.FanOut, limits.MaxSnapshots = 3, 2
	limits.LogChanges, limits.Tombstones = 30, 5
	limits.BatchBytes, limits.PieceBytes = 400, 300
	leafLimits := limits
	leafLimits.FanOut = 0
	u := &unrest{cluster: newCluster(), random: rand.New(rand.NewPCG(seed, seed))}
	u.cluster.random, u.transcript = true, newTranscript()
	for _, name := range []string{"v0", "v1"} {
		u.voters = append(u.voters, u.add(voter(name, limits)))
	}
	u.fill(5)
	for i := range 12 {
		scopes, its := AllScopes(), limits
		if i%3 == 1 {
			scopes, its = SomeScopes("a"), leafLimits
		}
		if i%3 == 2 {
			scopes = SomeScopes("a", "b")
		}
		u.subscribers = append(u.subscribers, u.add(subscriber(fmt.Sprint("s", i), scopes, its, "v0", "v1")))
	}
	return u
}

func (u *unrest) oneOf(members []*member) *member { return members[u.random.IntN(len(members))] }

// step lets one thing happen, and up to two seconds pass.
func (u *unrest) step() {
	m := u.oneOf(u.subscribers)
	switch u.random.IntN(20) {
	case 0:
		u.cut(m, u.oneOf(u.members))
	case 1:
		u.hang(m, u.oneOf(u.members))
	case 2:
		m.kill()
		m.config.Floor = m.highestVersion
		m.start(State{})
	case 3:
		state := m.node.State()
		m.kill()
		m.start(state)
	case 4:
		m.config.Scopes = SomeScopes([]string{"a", "b", "c"}[u.random.IntN(3)])
		m.node.Resubscribe(m.config.Scopes, u.now)
	case 5:
		m.config.Scopes = AllScopes()
		m.node.Resubscribe(m.config.Scopes, u.now)
	case 6:
		at := u.oneOf(u.members).node
		at.compact(at.Version().Revision)
	case 7:
		v := u.oneOf(u.voters)
		v.hasLeader = !v.hasLeader
	case 8:
		if u.random.IntN(5) == 0 {
			u.startNewRecord(Epoch{u.epoch.Number + 1, u.epoch.Identity + 1})
		}
	case 9:
		m.kill()
		m.config.Floor = Version{Epoch{u.epoch.Number, u.epoch.Identity + 1000}, 1} // founded beside the record
		m.start(State{})
	case 10:
		v := u.oneOf(u.voters)
		v.node.Accepted(Change{Epoch: Epoch{1, 1}, Revision: 1}, u.now) // of an older record
		v.hasLeader = false
		v.kill()
		v.start(State{})
	case 11, 12:
		u.changes()
		u.tick()
		u.spoil()
	case 13, 14:
		for _, other := range u.members {
			u.heal(m, other)
		}
	default:
		u.changes()
	}
	u.advance(int64(1+u.random.IntN(20))*tick, tick)
}

// changes puts up to a dozen changes on the record.
func (u *unrest) changes() {
	for range 1 + u.random.IntN(12) {
		name := fmt.Sprint(u.random.IntN(20))
		scope := []string{"a", "b", "c"}[u.random.IntN(3)]
		e := set(scope, name, strings.Repeat("x", u.random.IntN(200)))
		if u.random.IntN(4) == 0 {
			e = deletion(scope, name)
		}
		u.accept(e)
	}
}

// spoil loses some of the messages that are on their way, and gives some others a wrong digest.
func (u *unrest) spoil() {
	for _, conn := range slices.Clone(u.conns) {
		for side := range conn.queues {
			if len(conn.queues[side]) == 0 {
				continue
			}
			switch u.random.IntN(4) {
			case 0:
				u.deliver(conn, side, true)
			case 1:
				conn.queues[side][0] = withWrongDigest(conn.queues[side][0])
			}
		}
	}
}

// withWrongDigest is a copy of a message with another digest, if it has one.
func withWrongDigest(m Message) Message {
	switch m := m.(type) {
	case *Delta:
		copied := *m
		copied.Digest.Low++
		return &copied
	case *Heartbeat:
		copied := *m
		copied.Digest.Low++
		return &copied
	case *SnapshotPiece:
		copied := *m
		copied.Digest.Low++
		return &copied
	}
	return m
}

// What nodes ask of their hosts through changes and failures stays the same, call for call. It covers each node's
// choices, messages, refusals, events and what its controller is told.
func TestNodesAskTheSameOfTheirHostsAsBefore(t *testing.T) {
	const seeds, parts, steps = 4, 6, 25
	var lines strings.Builder
	for seed := range uint64(seeds) {
		u := newUnrest(seed)
		for part := range parts {
			for range steps {
				u.step()
			}
			u.requireConsistent(t)
			fmt.Fprintf(&lines, "seed %d, part %d: %016x\n", seed, part, u.transcript.sum.Sum64())
		}
		var kinds [len(eventNames)]int
		for _, m := range u.members {
			for _, e := range m.events {
				kinds[e.Kind]++
			}
		}
		fmt.Fprintf(&lines, "seed %d, events by their numbers: %v\n", seed, kinds)
	}
	golden.Compare(t, "transcript.golden", lines.String())
}
