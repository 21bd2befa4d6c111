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

// transcript hashes all calls of nodes to their hosts. Enumerated values are hashed as numbers and
// messages as bytes, so that the hash does not depend on names and texts of this package.
type transcript struct{ sum *xxhash.Digest }

func newTranscript() *transcript { return &transcript{xxhash.New()} }

// note adds to the transcript a call that the node of a member makes to its host. A nil transcript
// records nothing.
func (t *transcript) note(m *member, format string, args ...any) {
	if t != nil {
		fmt.Fprintf(t.sum, "%d %s ", m.cluster.now, m.config.Name)
		fmt.Fprintf(t.sum, format+"\n", args...)
	}
}

// mustEncode returns the encoding of a value on the wire.
func mustEncode(value any) []byte {
	bytes, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: all types of messages can be encoded
	}
	return bytes
}

// randomFaults applies a random sequence of changes and failures, determined by a seed, to a
// cluster.
type randomFaults struct {
	*cluster
	random      *rand.Rand
	voters      []*member
	subscribers []*member
}

func newRandomFaults(seed uint64) *randomFaults {
	limits := DefaultLimits()
	limits.FanOut, limits.MaxSnapshots = 3, 2
	limits.LogChanges, limits.Tombstones = 30, 5
	limits.BatchBytes, limits.PieceBytes = 400, 300
	leafLimits := limits
	leafLimits.FanOut = 0
	u := &randomFaults{cluster: newCluster(), random: rand.New(rand.NewPCG(seed, seed))}
	u.cluster.random, u.transcript = true, newTranscript()
	for _, name := range []string{"v0", "v1"} {
		u.voters = append(u.voters, u.add(voter(name, limits)))
	}
	u.acceptChanges(5)
	for i := range 12 {
		scopes, memberLimits := AllScopes(), limits
		if i%3 == 1 {
			scopes, memberLimits = SomeScopes("a"), leafLimits
		}
		if i%3 == 2 {
			scopes = SomeScopes("a", "b")
		}
		u.subscribers = append(u.subscribers, u.add(subscriber(fmt.Sprint("s", i), scopes, memberLimits, "v0", "v1")))
	}
	return u
}

func (u *randomFaults) randomMember(members []*member) *member {
	return members[u.random.IntN(len(members))]
}

// step applies one random event, and then advances the time by up to two seconds.
func (u *randomFaults) step() {
	m := u.randomMember(u.subscribers)
	switch u.random.IntN(20) {
	case 0:
		u.cut(m, u.randomMember(u.members))
	case 1:
		u.hang(m, u.randomMember(u.members))
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
		node := u.randomMember(u.members).node
		node.compact(node.Version().Revision)
	case 7:
		v := u.randomMember(u.voters)
		v.hasLeader = !v.hasLeader
	case 8:
		if u.random.IntN(5) == 0 {
			u.startNewRecord(Epoch{u.epoch.Number + 1, u.epoch.Identity + 1})
		}
	case 9:
		m.kill()
		// The epoch of this floor conflicts with the epoch of the record.
		m.config.Floor = Version{Epoch{u.epoch.Number, u.epoch.Identity + 1000}, 1}
		m.start(State{})
	case 10:
		v := u.randomMember(u.voters)
		// The voter refuses this change, which is older than the record.
		v.node.Accepted(Change{Epoch: Epoch{1, 1}, Revision: 1}, u.now)
		v.hasLeader = false
		v.kill()
		v.start(State{})
	case 11, 12:
		u.acceptRandomChanges()
		u.tick()
		u.damageQueues()
	case 13, 14:
		for _, other := range u.members {
			u.heal(m, other)
		}
	default:
		u.acceptRandomChanges()
	}
	u.advance(int64(1+u.random.IntN(20))*tick, tick)
}

// acceptRandomChanges adds 1 to 12 random changes to the record.
func (u *randomFaults) acceptRandomChanges() {
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

// damageQueues loses the first message of some queues, and sets a wrong digest in the first message
// of other queues.
func (u *randomFaults) damageQueues() {
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

// withWrongDigest returns a copy of a message with another digest; messages without a digest are
// returned unchanged.
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

// All calls of nodes to their hosts, under random changes and failures, must stay the same as when
// the golden file was written. The calls include each node's random choices, messages, refusals and
// events, and the changes passed to its controller. The test fails if a change that should only
// restructure the code alters behaviour.
func TestHostCallsMatchGoldenTranscript(t *testing.T) {
	const seeds, parts, steps = 4, 6, 25
	var lines strings.Builder
	for seed := range uint64(seeds) {
		u := newRandomFaults(seed)
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
