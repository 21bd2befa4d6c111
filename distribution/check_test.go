package distribution

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// The model check executes the events of a case in every order, up to a maximum number of events.
// The events are accepted changes, messages that arrive or are lost, cuts, restarts, compaction,
// new epochs and the passing of time. The nodes are real; the network, the record and the
// controllers are simulated. After each event the content of every node and of its controller must
// equal the record at the node's revision, and the version of a node must not be lower than an
// earlier version of the same node.

// modelStep is the time that passes with one passTime event. The times in modelLimits are small
// multiples of modelStep.
const modelStep = second

// modelLimits returns limits that are so small that each of them can be reached within a few
// events.
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

// modelEvent is one event of the model check: its kind, and the index of the member that it
// affects.
type modelEvent struct {
	kind   byte
	member int
}

func (e modelEvent) String() string { return fmt.Sprintf("%c%d", e.kind, e.member) }

// parseEvents parses a list of events, such as "a0 d1": each event is the letter of its kind and
// the index of a member.
func parseEvents(words string) (events []modelEvent) {
	for _, word := range strings.Fields(words) {
		events = append(events, modelEvent{word[0], int(word[1] - '0')})
	}
	return events
}

// modelEntries returns the two entries of the change with a given revision. Every change touches
// scope "a", except those with revision%4 == 3, which set entries of scope "b" alone. Each change
// has two entries so that a partly applied change differs from a whole one.
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

// Kinds of events, by their letters in startingState.setup and startingState.events. Most kinds
// affect one member. The first connection of a subscriber is the oldest existing connection that
// the subscriber has dialled. Down is the direction towards the subscriber, up the direction
// towards its parent.
const (
	acceptChange       = 'a' // a change is accepted; the first voter gets it at once
	followRecord       = 'f' // a voter that lacks changes gets the next one, or gets the new record
	createRecord       = 'n' // a new record is created; the first voter gets it at once
	restartVoterBehind = 'o' // a voter restarts and gets all changes of the record except the last
	deliverDown        = 'd' // a message arrives at the subscriber on its first connection
	deliverUp          = 'u' // a message arrives at the parent on a subscriber's first connection
	loseDown           = 'x' // a message to the subscriber is lost on its first connection
	loseUp             = 'y' // a message to the parent is lost on a subscriber's first connection
	deliverDown2       = 'e' // a message arrives at the subscriber on its second connection
	deliverUp2         = 'w' // a message arrives at the parent on a subscriber's second connection
	cutConnection      = 'c' // a subscriber's first connection is cut, and dials of that parent fail
	healCuts           = 'h' // dials succeed again between all members whose connections were cut
	restartWithVersion = 'k' // a subscriber restarts without its content; its highest version becomes its floor
	restartWithNothing = 'q' // a subscriber restarts without its version and content
	restartWithState   = 'p' // a subscriber restarts with its version and content
	compactLog         = 'm' // the member's node drops its log and tombstones
	changeScopes       = 'z' // a subscriber requests other scopes
	settleAll          = 's' // all sent messages arrive
	passTime           = 't' // the time advances by modelStep, and Tick of every node is called
)

// play executes one event. It returns false if the event is impossible in this state.
func (c *cluster) play(e modelEvent) bool {
	m := c.members[e.member]
	switch e.kind {
	case acceptChange:
		c.accept(modelEntries(len(c.record) + 1)...)
		c.follow(c.members[0], len(c.record))
	case followRecord:
		return c.followOne(m)
	case createRecord:
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
		return c.moveOne(m, e.kind)
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

// modelTick calls Tick of each node. Unlike tick, it passes no changes of the record to voters.
func (c *cluster) modelTick() {
	for _, m := range c.members {
		if m.config.Voter && m.recordPosition == len(c.record) && m.node.Version().Epoch == c.epoch {
			m.node.Current(c.now)
		}
		m.node.Tick(c.now)
	}
}

// followOne passes to a voter the new record, or one more change of its record. It reports whether
// the voter lacked the new record or a change.
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

// dialled returns the connections that a member has dialled.
func (c *cluster) dialled(m *member) []*conn {
	var conns []*conn
	for _, conn := range c.conns {
		if conn.dialer == m {
			conns = append(conns, conn)
		}
	}
	return conns
}

// messageMove selects the queue whose first message is delivered or lost.
type messageMove struct {
	connection int // index of the connection among those that the subscriber dialled
	side       int // direction of the message: 0 to the subscriber, 1 to its parent
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

// moveOne delivers or loses one message on a subscriber's first or second connection. It returns
// false if there is no such message or connection.
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

// extraDepth returns the number of events by which the depth of each case of the model check is
// increased.
func extraDepth() int {
	extra, _ := strconv.Atoi(os.Getenv("DISTRIBUTION_DEEPER")) // at 2 extra events the model check takes minutes
	return extra
}

func TestNodesStayConsistentInEveryOrderOfEvents(t *testing.T) {
	for _, s := range []startingState{
		{"one voter and a subscriber", 1, 0, "", "a0 o0 f0 n0 m0 d1 u1 x1 y1 c1 h0 k1 p1 z1 t0", 4},
		{"one voter, a relay and a subscriber",
			1, 1, "", "a0 o0 f0 n0 m1 d1 x1 u1 d2 u2 x2 c1 c2 h0 k1 p1 k2 t0", 4},
		{"two voters, the second behind, and a subscriber",
			2, 0, "a0 s0", "a0 f1 n0 o0 m1 d2 e2 u2 w2 x2 c2 h0 k2 p2 z2 t0", 4},
		{"two voters, and a subscriber that dials the one behind",
			2, 0, "a0 s0 c2 t0", "a0 f1 n0 m1 d2 u2 x2 c2 h0 k2 p2 z2 t0 s0", 4},
		{"a subscriber that starts with nothing", 1, 0, "a0 k1 t0 u1", "a0 m0 d1 u1 x1 y1 c1 h0 k1 t0", 4},
		{"a relay that restarts without content between two voters, the second behind",
			2, 1, "a0 s0 c2 t0", "a0 f1 m0 u2 x2 c2 h0 q2 d3 u3 c3 t0 s0", 4},
		{"a subscriber that requests other scopes before the parent answers",
			1, 0, "a0 a0 k1 t0 u1 z1", "a0 d1 u1 x1 y1 z1 k1 t0", 4},
		{"a relay whose log was compacted",
			1, 1, "c2 a0 a0 a0 s0 m1 h0", "a0 m0 m1 d2 u2 x2 c1 c2 h0 k1 p2 t0 s0", 4},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			depth := s.depth + extraDepth()
			violation, states := s.explore(depth, func(*Node) {})
			if violation != "" {
				t.Errorf("violation after the events %s", violation)
			}
			t.Logf("depth %d, %d distinct states", depth, states)
		})
	}
}

func TestModelCheckFindsPlantedFaults(t *testing.T) {
	for _, fault := range []struct {
		name, wantViolation string
		start               startingState
		plant               func(*Node)
	}{
		{"a delta after a gap is applied", "should have", startingState{"", 1, 0, "", "a0 d1 u1 x1 c1 t0", 4},
			func(n *Node) { n.faults.acceptGaps = true }},
		{"an older revision of a parent is applied", "goes back", startingState{"", 2, 0, "a0 s0", "a0 f1 c2 s0 t0", 4},
			func(n *Node) { n.faults.acceptOlder = true }},
		{"a change is applied in part", "there should be", startingState{"", 1, 0, "", "a0 d1 u1 x1 c1 t0", 4},
			func(n *Node) { n.faults.applyHalf = true }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			violation, states := fault.start.explore(fault.start.depth, fault.plant)
			if !strings.Contains(violation, fault.wantViolation) {
				t.Errorf("the violation is %q after %d states, it should contain %q",
					violation, states, fault.wantViolation)
			}
			t.Log(violation)
		})
	}
}
