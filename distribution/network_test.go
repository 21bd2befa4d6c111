package distribution

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// cluster is a simulated network of nodes. Its connections deliver in order, and can be cut, hang
// or lose a message. It holds the configuration that every node should have at each revision, and
// checks each node against that configuration.
type cluster struct {
	now         int64
	members     []*member
	conns       []*conn
	dials       []dial
	cuts        map[[2]string]bool // by namePair of two members: connections between them are closed, and dials fail
	hung        map[[2]string]bool // by namePair of two members: nothing arrives between them, and neither gets an error
	encode      bool               // each message is encoded by its sender and decoded for its receiver
	epoch       Epoch
	record      []Change                           // changes of the simulated record in the current epoch
	expected    map[Epoch]map[uint64]map[Key]Entry // entries expected at a node with all scopes, by epoch and revision
	randomState uint64
	// messageKeys holds the hash of each message of the model, so that messageKey computes each hash
	// only once.
	messageKeys map[Message]int64
	random      bool        // makes Random of all members return pseudo-random numbers instead of zero
	violation   string      // the first violated rule; "" if there is none
	transcript  *transcript // receives all calls that nodes make to their hosts; nil to record none
}

// member is a node with the controller that applies its changes.
type member struct {
	cluster           *cluster
	config            Config
	node              *Node
	up                bool // the member's process runs
	frozen            bool // the member's process is suspended
	hasLeader         bool // for a voter: the record has a leader, so that the voter follows the record
	recordPosition    int  // number of the record's changes passed to this voter
	controllerEntries map[Key]Entry
	appliedVersion    Version
	highestVersion    Version // highest version of the node over all restarts
	events            []Event
	sentBytes         int // sum of the sizes in bytes of all messages that the member has sent
	applyCount        int // number of calls of Apply by the member's node
	// verifiedVersion and verifiedApplyCount are the node's version and applyCount when advance
	// last called verify. advance calls verify again only if one of them has changed.
	verifiedVersion    Version
	verifiedApplyCount int
}

// dial is a dial that is neither completed nor failed yet.
type dial struct {
	from *member
	peer string
	link Link
}

// conn is a connection of two members, with the messages that were sent and are not delivered yet.
type conn struct {
	dialer, acceptor *member
	links            [2]Link      // at index 0 the link of the dialer's node, at 1 the link of the acceptor's node
	queues           [2][]Message // at index 0 the messages to the dialer, at 1 the messages to the acceptor
	closed           [2]bool      // at index 0: the dialer has closed the connection; at 1: the acceptor has
}

func newCluster() *cluster {
	return &cluster{
		now:         1000 * second,
		messageKeys: map[Message]int64{},
		cuts:        map[[2]string]bool{},
		hung:        map[[2]string]bool{},
		epoch:       Epoch{Number: 7, Identity: 70},
		expected:    map[Epoch]map[uint64]map[Key]Entry{},
	}
}

func namePair(a, b *member) [2]string {
	return [2]string{min(a.config.Name, b.config.Name), max(a.config.Name, b.config.Name)}
}

func (c *cluster) reportViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *cluster) member(name string) *member {
	for _, m := range c.members {
		if m.config.Name == name {
			return m
		}
	}
	return nil
}

// add starts a member. A voter begins with the empty record of the current epoch, and gets the
// record's changes from follow.
func (c *cluster) add(config Config) *member {
	m := &member{cluster: c, config: config, hasLeader: true}
	c.members = append(c.members, m)
	m.start(State{})
	return m
}

// start starts the member's process. The node is restored from savedState if that has an epoch.
func (m *member) start(savedState State) {
	m.up, m.frozen, m.controllerEntries, m.appliedVersion = true, false, map[Key]Entry{}, Version{}
	m.verifiedVersion = Version{}
	m.node = New(m.config, m, m.cluster.now)
	if m.config.Voter && !savedState.Version.Epoch.Known() {
		savedState.Version.Epoch = m.cluster.epoch
	}
	m.recordPosition = 0
	for _, change := range m.cluster.record {
		if change.Revision <= savedState.Version.Revision {
			m.recordPosition++
		}
	}
	if savedState.Version.Epoch.Known() {
		m.node.Restored(savedState, m.cluster.now)
	}
}

// kill ends the member's process and closes its connections at their other ends.
func (m *member) kill() {
	m.up = false
	for _, conn := range slices.Clone(m.cluster.conns) {
		if conn.dialer == m || conn.acceptor == m {
			m.cluster.sever(conn)
		}
	}
	m.cluster.dials = slices.DeleteFunc(m.cluster.dials, func(d dial) bool { return d.from == m })
}

// sever closes a connection at both ends; messages that are not delivered yet are lost.
func (c *cluster) sever(lost *conn) {
	c.conns = slices.DeleteFunc(c.conns, func(other *conn) bool { return other == lost })
	if lost.dialer.up && !lost.closed[0] {
		lost.dialer.node.Closed(lost.links[0], c.now)
	}
	if lost.acceptor.up && !lost.closed[1] {
		lost.acceptor.node.Closed(lost.links[1], c.now)
	}
}

// cut closes the connections of two members, and makes their dials fail.
func (c *cluster) cut(a, b *member) {
	c.cuts[namePair(a, b)] = true
	for _, conn := range slices.Clone(c.conns) {
		if namePair(conn.dialer, conn.acceptor) == namePair(a, b) {
			c.sever(conn)
		}
	}
}

// hang stops all delivery between two members without closing their connections.
func (c *cluster) hang(a, b *member) { c.hung[namePair(a, b)] = true }

// heal makes dials and delivery between two members possible again. It closes the connections that
// existed while the members were hung.
func (c *cluster) heal(a, b *member) {
	delete(c.cuts, namePair(a, b))
	delete(c.hung, namePair(a, b))
	for _, conn := range slices.Clone(c.conns) {
		if namePair(conn.dialer, conn.acceptor) == namePair(a, b) {
			c.sever(conn)
		}
	}
}

// startNewRecord replaces the record by an empty one with a new epoch, and passes it to all running
// voters.
func (c *cluster) startNewRecord(epoch Epoch) {
	c.epoch, c.record = epoch, nil
	for _, m := range c.members {
		if m.config.Voter && m.up {
			m.recordPosition = 0
			m.node.Restored(State{Version: Version{Epoch: epoch}}, c.now)
		}
	}
}

// accept adds a change to the record; follow passes it to the voters.
func (c *cluster) accept(entries ...Entry) {
	change := Change{Epoch: c.epoch, Revision: uint64(len(c.record) + 1), Entries: entries}
	change.AcceptedAt = int64(change.Revision)*second + int64(c.epoch.Number) // no two changes have the same AcceptedAt
	c.expectedAt(c.epoch, change.Revision-1)
	next := maps.Clone(c.expected[c.epoch][change.Revision-1])
	for _, e := range withDefaults(change) {
		next[e.Key()] = e
		if e.Deleted {
			delete(next, e.Key())
		}
	}
	c.expected[c.epoch][change.Revision] = next
	c.record = append(c.record, change)
}

// follow passes to a voter at most maxChanges of the record's changes that the voter lacks.
func (c *cluster) follow(m *member, maxChanges int) {
	for ; m.recordPosition < len(c.record) && maxChanges > 0; maxChanges-- {
		m.node.Accepted(c.record[m.recordPosition], c.now)
		m.recordPosition++
	}
}

// Dial implements Host.
func (m *member) Dial(peer string, link Link) {
	m.cluster.transcript.note(m, "dial %s %d", peer, link)
	m.cluster.dials = append(m.cluster.dials, dial{m, peer, link})
}

// Send implements Host.
func (m *member) Send(link Link, message Message) {
	if m.cluster.transcript != nil {
		m.cluster.transcript.note(m, "send %d %d %x", link, message.Size(), mustEncode(NewEnvelope(message)))
	}
	m.sentBytes += message.Size()
	for _, conn := range m.cluster.conns {
		for side, end := range []*member{conn.dialer, conn.acceptor} {
			if end == m && conn.links[side] == link {
				conn.queues[1-side] = append(conn.queues[1-side], message)
				return
			}
		}
	}
	m.cluster.reportViolation("%s sends on link %d, which it does not have", m.config.Name, link)
}

// Close implements Host.
func (m *member) Close(link Link, reason CloseReason) {
	m.cluster.transcript.note(m, "close %d %d", link, int(reason))
	m.cluster.dials = slices.DeleteFunc(m.cluster.dials, func(d dial) bool { return d.from == m && d.link == link })
	for _, conn := range m.cluster.conns {
		if conn.dialer == m && conn.links[0] == link {
			conn.closed[0] = true
		}
		if conn.acceptor == m && conn.links[1] == link {
			conn.closed[1] = true
		}
	}
}

// Log implements Host.
func (m *member) Log(event Event) {
	m.events = append(m.events, event)
	if m.cluster.transcript != nil {
		m.cluster.transcript.note(m, "log %d %s %x %d %d", int(event.Kind), event.Peer,
			mustEncode(event.Version), int(event.Refusal), int(event.CloseReason))
	}
}

// Random implements Host.
func (m *member) Random() uint64 {
	if !m.cluster.random {
		return 0
	}
	m.cluster.randomState = m.cluster.randomState*6364136223846793005 + 1442695040888963407
	return m.cluster.randomState >> 20
}

// connect completes or fails the pending dials, except those of hung or frozen members. It reports
// whether it completed or failed any dial.
func (c *cluster) connect() bool {
	moved := false
	for _, d := range slices.Clone(c.dials) {
		peer := c.member(d.peer)
		if peer != nil && (peer.frozen || c.hung[namePair(d.from, peer)]) || d.from.frozen {
			continue
		}
		c.dials = slices.DeleteFunc(c.dials, func(other dial) bool { return other == d })
		moved = true
		var incoming Link
		if peer != nil && peer.up && !c.cuts[namePair(d.from, peer)] {
			incoming = peer.node.Incoming(c.now)
		}
		if incoming == 0 {
			d.from.node.DialFailed(d.link, c.now)
			continue
		}
		c.conns = append(c.conns, &conn{dialer: d.from, acceptor: peer, links: [2]Link{d.link, incoming}})
		d.from.node.Connected(d.link, c.now)
	}
	return moved
}

// deliver passes the first message of a queue to its receiver, or drops it if lose is set. If the
// queue is empty and the sender has closed the connection, deliver passes on the end of the
// connection. It returns false if nothing could be delivered.
func (c *cluster) deliver(on *conn, side int, lose bool) bool {
	ends := []*member{on.dialer, on.acceptor}
	to := ends[side]
	if to.frozen || c.hung[namePair(on.dialer, on.acceptor)] {
		return false
	}
	if len(on.queues[side]) == 0 {
		if !on.closed[1-side] {
			return false
		}
		c.conns = slices.DeleteFunc(c.conns, func(other *conn) bool { return other == on })
		if !on.closed[side] {
			to.node.Closed(on.links[side], c.now)
		}
		return true
	}
	message := on.queues[side][0]
	on.queues[side] = on.queues[side][1:]
	if !lose && !on.closed[side] {
		to.node.Received(on.links[side], c.roundTrip(message), c.now)
	}
	return true
}

// roundTrip encodes and decodes a message if the cluster encodes messages.
func (c *cluster) roundTrip(message Message) Message {
	if !c.encode {
		return message
	}
	bytes, err := cbor.Marshal(NewEnvelope(message))
	if err != nil {
		c.reportViolation("encoding: %v", err)
	}
	var envelope Envelope
	if err := cbor.Unmarshal(bytes, &envelope); err != nil {
		c.reportViolation("decoding: %v", err)
	}
	decoded, err := envelope.Message()
	if err != nil {
		c.reportViolation("decoding: %v", err)
	}
	return decoded
}

// settle completes dials and delivers messages until no dial or message is pending, except those of
// hung or frozen members.
func (c *cluster) settle() {
	for moved := true; moved; {
		moved = c.connect()
		for _, conn := range slices.Clone(c.conns) {
			for side := range conn.queues {
				for slices.Contains(c.conns, conn) && c.deliver(conn, side, false) {
					moved = true
				}
			}
		}
	}
}

// advance advances the time in steps. In each step it runs all ticks, settles, and checks each
// running node with a new version or new changes.
func (c *cluster) advance(time, step int64) {
	for end := c.now + time; c.now < end; {
		c.now += step
		c.tick()
		c.settle()
		for _, m := range c.members {
			if m.up && (m.verifiedVersion != m.node.Version() || m.verifiedApplyCount != m.applyCount) {
				m.verify()
				m.verifiedVersion, m.verifiedApplyCount = m.node.Version(), m.applyCount
			}
		}
	}
}

// tick calls Tick of every running node; voters whose record has a leader first follow the record.
func (c *cluster) tick() {
	for _, m := range c.members {
		if !m.up || m.frozen {
			continue
		}
		if m.config.Voter && m.hasLeader {
			c.follow(m, len(c.record))
			m.node.Current(c.now)
		}
		m.node.Tick(c.now)
	}
}

func set(scope, name, value string) Entry {
	return Entry{Scope: scope, Name: name, Value: []byte(value)}
}

func deletion(scope, name string) Entry { return Entry{Scope: scope, Name: name, Deleted: true} }
