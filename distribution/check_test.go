package distribution

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// The check plays every order of events up to a depth: changes, messages that arrive or get lost, cuts, restarts,
// compaction, new epochs and time. The nodes are real; the network, the record and the controllers are the model's.
// After each event every node and its controller must have just what stood on the record at the node's revision, and no
// revision may be lower than the node's before.

// modelStep is the time that an event of time takes; the limits below are small multiples of it.
const modelStep = second

// modelLimits are small enough for every bound to be met within a few events.
func modelLimits() Limits {
	limits := DefaultLimits()
	limits.Heartbeat = modelStep
	limits.Lease, limits.Handshake = 3*modelStep, 3*modelStep
	limits.MaxStaleness = 4 * modelStep
	limits.MinBackoff, limits.MaxBackoff, limits.MaxRetryAfter = 4*modelStep, 4*modelStep, 2*modelStep
	limits.HedgeDelay = 2 * modelStep
	limits.LogChanges, limits.Tombstones = 2, 1
	limits.BatchBytes, limits.PieceBytes = 150, 1
	limits.SnapshotBytesPerSecond = mebibyte
	return limits
}

// modelEvent is one event: what happens, and to which member.
type modelEvent struct {
	kind   byte
	member int
}

func (h modelEvent) String() string { return fmt.Sprintf("%c%d", h.kind, h.member) }

// parseEvents reads happenings from words like a0 d1.
func parseEvents(words string) (happenings []modelEvent) {
	for _, word := range strings.Fields(words) {
		happenings = append(happenings, modelEvent{word[0], int(word[1] - '0')})
	}
	return happenings
}

// modelEntries is what the nth change sets: every change in scope "a" but each fourth, which is elsewhere, and two
// entries in each, so that half a change can be told from a whole one.
func modelEntries(revision int) []Entry {
	value := strconv.Itoa(revision)
	switch revision % 4 {
	case 0:
		return []Entry{deletion("a", "x"), set("b", "z", value)}
	case 1:
		return []Entry{set("a", "x", value), set("a", "y", value)}
	case 2:
		return []Entry{set("a", "x", value), deletion("a", "y")}
	}
	return []Entry{set("b", "y", value), set("b", "z", value)}
}

// Kinds of events, by the letters that stand for them in the words of a start. A subscriber's first connection is the one
// that it dialled first; down is to the subscriber, up to its parent.
const (
	acceptChange       = 'a' // a change is accepted; the first voter has it at once
	followRecord       = 'f' // a voter that lags gets one change more, or the new record
	foundRecord        = 'n' // the record is founded anew, which the first voter knows at once
	restartVoterBehind = 'o' // a voter starts anew, with all but the last change of the record
	deliverDown        = 'd' // a message arrives on a subscriber's first connection
	deliverUp          = 'u'
	loseDown           = 'x' // a message is lost on a subscriber's first connection
	loseUp             = 'y'
	deliverDown2       = 'e' // a message arrives on a subscriber's second connection
	deliverUp2         = 'w'
	cutConnection      = 'c' // a subscriber's first connection is cut, and none to that parent succeeds
	healCuts           = 'h' // connections succeed again
	restartWithVersion = 'k' // a subscriber starts anew, and knows no more than the version that it had
	restartWithNothing = 'q' // a subscriber starts anew, and knows nothing of what it had
	restartWithState   = 'p' // a subscriber starts anew with what it had
	compactLog         = 'm' // a node drops its log and tombstones
	changeScopes       = 'z' // a subscriber asks for other scopes
	settleAll          = 's' // everything on its way arrives
	passTime           = 't' // modelStep passes, and every node is told
)

// play plays one play; false where it can do nothing.
func (c *cluster) play(h modelEvent) bool {
	m := c.members[h.member]
	switch h.kind {
	case acceptChange:
		c.accept(modelEntries(len(c.record) + 1)...)
		c.follow(c.members[0], len(c.record))
	case followRecord:
		return c.followOne(m)
	case foundRecord:
		c.epoch, c.record = Epoch{c.epoch.Number + 1, c.epoch.Identity + 1}, nil
		c.followOne(c.members[0])
	case restartVoterBehind:
		if m.node.Version().Revision == 0 {
			return false
		}
		m.kill()
		m.start(State{})
		c.follow(m, len(c.record)-1)
	case deliverDown, deliverDown2, deliverUp, deliverUp2, loseDown, loseUp:
		return c.moveOne(m, h.kind)
	case cutConnection:
		conns := c.dialled(m)
		if len(conns) == 0 {
			return false
		}
		c.cut(m, conns[0].acceptor)
	case healCuts:
		if len(c.cuts) == 0 {
			return false
		}
		clear(c.cuts)
	case restartWithVersion:
		m.kill()
		m.config.Floor = m.highestVersion
		m.start(State{})
	case restartWithNothing:
		m.highestVersion = Version{}
		m.kill()
		m.start(State{})
	case restartWithState:
		state := m.node.State()
		m.kill()
		m.start(state)
	case compactLog:
		if m.node.store.log.floor == m.node.Version().Revision {
			return false
		}
		m.node.compact(m.node.Version().Revision)
	case changeScopes:
		m.config.Scopes = SomeScopes("a", "b")
		if m.node.config.Scopes.Has("b") {
			m.config.Scopes = SomeScopes("a")
		}
		m.node.Resubscribe(m.config.Scopes, c.now)
	case settleAll:
		c.settle()
	case passTime:
		c.now += modelStep
		c.modelTick()
	}
	c.connect()
	return true
}

// modelTick lets each node note the time, without the voters following the record by it.
func (c *cluster) modelTick() {
	for _, m := range c.members {
		if m.config.Voter && m.recordPosition == len(c.record) && m.node.Version().Epoch == c.epoch {
			m.node.Current(c.now)
		}
		m.node.Tick(c.now)
	}
}

// followOne hands a voter the new record, or one more change of it.
func (c *cluster) followOne(m *member) bool {
	if !m.config.Voter {
		return false
	}
	if m.node.Version().Epoch != c.epoch {
		m.recordPosition = 0
		return m.node.Restored(State{Version: Version{Epoch: c.epoch}}, c.now)
	}
	before := m.recordPosition
	c.follow(m, 1)
	return m.recordPosition > before
}

// dialled gives the connections that a member has dialled.
func (c *cluster) dialled(m *member) []*conn {
	var conns []*conn
	for _, conn := range c.conns {
		if conn.dialer == m {
			conns = append(conns, conn)
		}
	}
	return conns
}

// messageMove says which message of a subscriber moves, and how.
type messageMove struct {
	connection int // of those that the subscriber dialled
	side       int // 0 to the subscriber, 1 to its parent
	lose       bool
}

var messageMoves = map[byte]messageMove{
	deliverDown:  {connection: 0, side: 0},
	deliverUp:    {connection: 0, side: 1},
	loseDown:     {connection: 0, side: 0, lose: true},
	loseUp:       {connection: 0, side: 1, lose: true},
	deliverDown2: {connection: 1, side: 0},
	deliverUp2:   {connection: 1, side: 1},
}

// moveOne lets one message of a subscriber's first or second connection arrive or get lost; false if there is none.
func (c *cluster) moveOne(m *member, kind byte) bool {
	move := messageMoves[kind]
	conns := c.dialled(m)
	if move.connection >= len(conns) {
		return false
	}
	conn := conns[move.connection]
	if move.lose && len(conn.queues[move.side]) == 0 {
		return false
	}
	moved := c.deliver(conn, move.side, move.lose)
	c.connect()
	return moved
}

// extraDepth is how many events more than usual are played.
func extraDepth() int {
	given, _ := strconv.Atoi(os.Getenv("DISTRIBUTION_DEEPER")) // 2 takes minutes
	return given
}

func TestNodesStayConsistentInEveryOrderOfEvents(t *testing.T) {
	for _, w := range []startingState{
		{"one voter and a subscriber", 1, 0, "", "a0 o0 f0 n0 m0 d1 u1 x1 y1 c1 h0 k1 p1 z1 t0", 4},
		{"one voter, a relay and a subscriber", 1, 1, "", "a0 o0 f0 n0 m1 d1 x1 u1 d2 u2 x2 c1 c2 h0 k1 p1 k2 t0", 4},
		{"two voters, the second behind, and a subscriber", 2, 0, "a0 s0", "a0 f1 n0 o0 m1 d2 e2 u2 w2 x2 c2 h0 k2 p2 z2 t0", 4},
		{"two voters, and a subscriber that comes to the one behind", 2, 0, "a0 s0 c2 t0", "a0 f1 n0 m1 d2 u2 x2 c2 h0 k2 p2 z2 t0 s0", 4},
		{"a subscriber that starts with nothing", 1, 0, "a0 k1 t0 u1", "a0 m0 d1 u1 x1 y1 c1 h0 k1 t0", 4},
		{"a relay without memory between two voters, the second behind", 2, 1, "a0 s0 c2 t0", "a0 f1 m0 u2 x2 c2 h0 q2 d3 u3 c3 t0 s0", 4},
		{"a subscriber that asks for other scopes before it is answered", 1, 0, "a0 a0 k1 t0 u1 z1", "a0 d1 u1 x1 y1 z1 k1 t0", 4},
		{"a relay that was compacted", 1, 1, "c2 a0 a0 a0 s0 m1 h0", "a0 m0 m1 d2 u2 x2 c1 c2 h0 k1 p2 t0 s0", 4},
	} {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			depth := w.depth + extraDepth()
			breach, states := w.explore(depth, func(*Node) {})
			if breach != "" {
				t.Errorf("after %s", breach)
			}
			t.Logf("depth %d, %d states", depth, states)
		})
	}
}

func TestModelCheckFindsPlantedFaults(t *testing.T) {
	for _, fault := range []struct {
		name, finds string
		world       startingState
		plant       func(*Node)
	}{
		{"a gap taken in", "should have", startingState{"", 1, 0, "", "a0 d1 u1 x1 c1 t0", 4},
			func(n *Node) { n.faults.acceptGaps = true }},
		{"an old parent's revision taken in", "goes back", startingState{"", 2, 0, "a0 s0", "a0 f1 c2 s0 t0", 4},
			func(n *Node) { n.faults.acceptOlder = true }},
		{"a half-applied change", "there should be", startingState{"", 1, 0, "", "a0 d1 u1 x1 c1 t0", 4},
			func(n *Node) { n.faults.applyHalf = true }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			breach, states := fault.world.explore(fault.world.depth, fault.plant)
			if !strings.Contains(breach, fault.finds) {
				t.Errorf("found %q in %d states", breach, states)
			}
			t.Log(breach)
		})
	}
}
