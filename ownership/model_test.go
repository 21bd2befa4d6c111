package ownership

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// This file models members that share one record, and one proxy that connects to any of them, with
// killed processes, cut connections and lost answers. explore plays every order of these events up
// to a depth. Coordinators, record and lease tracker are the real ones; the log, the network and
// the proxy are modelled.

var modelTerms = LeaseTerms{Duration: 3, RenewInterval: 1, Members: 2}

// eventKind identifies an event by the letter that stands for it in a sequence of steps.
type eventKind byte

const (
	eventTick        eventKind = 't' // a unit of time passes
	eventDial        eventKind = 'd' // the proxy connects to the member
	eventChangeTable eventKind = 'o' // the member changes its table
	eventAcknowledge eventKind = 'c' // the proxy acknowledges everything that was written to it
	eventCutOff      eventKind = 'x' // the member is cut off from the record
	eventLoseAnswers eventKind = 'l' // the member's entries arrive at the leader, but the leader's answers are lost
	eventHeal        eventKind = 'h' // the connection between the member and the record works again
	eventKill        eventKind = 'k' // the member's process is killed
	eventClose       eventKind = 'q' // the member closes its incarnation, then its process ends
	eventStart       eventKind = 's' // the member's process starts
	eventStartCutOff eventKind = 'z' // the member's process starts, cut off from the record
)

// modelState is a state of the model.
type modelState struct {
	now          int64
	log          []Entry
	leases       *LeaseTracker
	record       *Record // record that results from the entries that the leader has applied
	members      []*modelMember
	streamMember int                // index of the member to which the proxy is connected
	streamSerial int                // serial number of the proxy's present stream
	proxyLines   map[string]float64 // weights that the proxy holds, by backend
	proxyToken   uint64             // greatest fencing token that the proxy has seen
	violation    string             // description of the first violation; empty if there is none
	lastRandomID uint64
}

// modelMember is a member's process, with its connections to the record and to the proxy.
type modelMember struct {
	state             *modelState
	index             int
	coordinator       *Coordinator
	running, cutOff   bool     // cutOff: the member is cut off from the record
	answersLost       bool     // the member's entries arrive at the leader, but the leader's answers are lost
	connection        int      // number of the connection to the leader
	applied           int      // number of log entries that the member has applied
	proposals         []Entry  // entries that are not delivered to the leader yet
	knownStream       int      // serial number of the last stream that began at this member
	grantedStream     int      // serial number of the proxy's stream for which the proxy was granted to this member
	token             uint64   // fencing token of the last grant
	weight            float64  // weight of backend a in the member's table; 0 for no line
	lastRevision      uint64   // revision of the member's last table change
	lastWrittenStream int      // serial number of the last stream on which the member wrote
	unreleased        []uint64 // revisions that wait for their release by ReleaseUpTo
}

func (member *modelMember) Propose(e Entry) { member.proposals = append(member.proposals, e) }

func (member *modelMember) RandomID() uint64 {
	member.state.lastRandomID++
	return member.state.lastRandomID
}

func (member *modelMember) PeerObservationReported(string, Observation) {}

func (member *modelMember) QuorumChanged(bool, string) {}

func (member *modelMember) PeerCapacityReported(Capacity) {}

func (member *modelMember) ProxyGranted(grant Grant) {
	member.grantedStream, member.token = member.knownStream, grant.Token
	if member.state.streamMember != member.index || member.state.streamSerial != member.knownStream {
		return // the stream for which the proxy is granted has already ended
	}
	for _, known := range grant.Base {
		for backend, weight := range member.state.proxyLines {
			if !known.Uncertain[backend] && known.Lines[backend] != weight {
				member.state.recordViolation("the proxy holds backend %s with weight %g, but its base gives %g",
					backend, weight, known.Lines[backend])
			}
		}
		for backend, weight := range known.Lines {
			if !known.Uncertain[backend] && member.state.proxyLines[backend] != weight {
				member.state.recordViolation("the base has backend %s with weight %g, but the proxy holds %g",
					backend, weight, member.state.proxyLines[backend])
			}
		}
	}
	member.deliver(func() { member.state.proxyLines = member.table() })
}

func (member *modelMember) ReleaseUpTo(revision uint64) {
	for len(member.unreleased) > 0 && member.unreleased[0] <= revision {
		member.unreleased = member.unreleased[1:]
		if member.grantedStream == member.knownStream {
			member.deliver(func() { member.state.proxyLines = member.table() })
		}
	}
}

// table returns the member's table: one line that changes, and one that never changes.
func (member *modelMember) table() map[string]float64 {
	lines := map[string]float64{"b": 1}
	if member.weight > 0 {
		lines["a"] = member.weight
	}
	return lines
}

// deliver writes a message to the proxy. The proxy applies the message if it arrives on the proxy's
// present stream and has no older token than the proxy has seen.
func (member *modelMember) deliver(apply func()) {
	state := member.state
	if state.streamMember != member.index || state.streamSerial != member.knownStream ||
		member.token > 0 && member.token < state.proxyToken {
		return
	}
	state.proxyToken, member.lastWrittenStream = max(state.proxyToken, member.token), state.streamSerial
	apply()
}

func (state *modelState) recordViolation(format string, args ...any) {
	if state.violation == "" {
		state.violation = fmt.Sprintf(format, args...)
	}
}

// deliverAll delivers all entries and answers, except to and from members that are cut off.
func (state *modelState) deliverAll() {
	resent := map[*modelMember]bool{}
	for progressed := true; progressed; {
		progressed = false
		for _, member := range state.members {
			if !member.running || member.cutOff {
				continue
			}
			for len(member.proposals) > 0 && !resent[member] {
				entry := member.proposals[0]
				member.proposals, progressed = member.proposals[1:], true
				state.leases.Observe(entry.Incarnation, entry.Seq, member.connection, state.now)
				entry.FullyRecorded, entry.Stamp = state.leases.FullyRecorded(state.record, state.now),
					Stamp{1, state.now}
				state.log = append(state.log, entry)
				state.record.Apply(entry)
				if member.answersLost { // the entry is repeated on a new connection to the leader
					member.connection++
					member.proposals, resent[member] = append(member.proposals, entry), true
					break
				}
				member.coordinator.ProposalCommitted(entry.Incarnation, entry.Seq, state.now)
			}
			for ; member.applied < len(state.log); member.applied++ {
				member.coordinator.EntryApplied(state.log[member.applied], state.now)
				progressed = true
			}
		}
	}
}

func (state *modelState) start(member *modelMember) {
	member.running, member.cutOff, member.answersLost, member.applied = true, false, false, 0
	member.proposals, member.unreleased = nil, nil
	member.connection, member.weight, member.lastRevision, member.token = member.connection+1, 0, 0, 0
	member.knownStream, member.grantedStream, member.lastWrittenStream = 0, 0, 0
	member.coordinator = New(member, fmt.Sprint("n", member.index), modelTerms, state.now)
	member.coordinator.ChangeTables([]TableChange{{0, []Line{{"b", 1}}}}, state.now)
}

func (state *modelState) dial(member *modelMember) {
	if previous := state.members[state.streamMember]; previous.running && previous.knownStream == state.streamSerial {
		previous.coordinator.ProxyDisconnected(0)
		previous.grantedStream = -1
	}
	state.streamSerial++
	state.streamMember = member.index
	if member.running {
		member.knownStream = state.streamSerial
		member.coordinator.ProxyConnected(0, state.now)
	}
}

// playEvent plays an event at a member, and reports whether the event is possible in this state.
func (state *modelState) playEvent(kind eventKind, member *modelMember) bool {
	switch kind {
	case eventTick:
		state.now++
		for _, member := range state.members {
			if !member.running { // the leader finds that the member's process is not running
				state.leases.MarkStopped(fmt.Sprint("n", member.index), state.now)
			}
		}
		for _, member := range state.members {
			if member.running {
				member.coordinator.Tick(state.now)
			}
			if member.running && state.streamMember == member.index && state.streamSerial == member.knownStream {
				member.coordinator.ProxyActiveAt(0, state.now)
			}
		}
	case eventDial:
		if !member.running {
			return false
		}
		state.dial(member)
	case eventChangeTable:
		if !member.running {
			return false
		}
		member.weight = 1 - member.weight
		member.unreleased = append(member.unreleased, 1<<62)
		member.lastRevision = member.coordinator.Revision() + 1
		member.unreleased[len(member.unreleased)-1] = member.lastRevision
		member.coordinator.ChangeTables([]TableChange{{0, []Line{{"a", member.weight}}}}, state.now)
	case eventAcknowledge:
		if member.index != state.streamMember || !member.running || member.grantedStream != member.knownStream ||
			len(member.unreleased) > 0 || member.lastWrittenStream != state.streamSerial {
			return false
		}
		member.coordinator.ProxyAcknowledged(0, member.coordinator.Revision(), []int{0}, true)
	case eventCutOff:
		if !member.running || member.cutOff {
			return false
		}
		member.cutOff = true
	case eventLoseAnswers:
		if !member.running || member.answersLost || member.cutOff {
			return false
		}
		member.answersLost = true
	case eventHeal:
		if !member.running || !member.cutOff && !member.answersLost {
			return false
		}
		member.cutOff, member.answersLost, member.connection = false, false, member.connection+1
	case eventKill:
		if !member.running {
			return false
		}
		member.running = false
	case eventClose:
		if !member.running || member.cutOff || member.answersLost {
			return false
		}
		member.coordinator.Close(state.now)
		state.deliverAll()
		member.running = false
	case eventStart:
		if member.running {
			return false
		}
		state.start(member)
	case eventStartCutOff:
		if member.running {
			return false
		}
		state.start(member)
		member.cutOff = true
	}
	state.deliverAll()
	return true
}

func newModelState() *modelState {
	state := &modelState{now: 100, leases: NewLeaseTracker(modelTerms), record: NewRecord(),
		proxyLines: map[string]float64{}}
	for i := range modelTerms.Members {
		state.members = append(state.members, &modelMember{state: state, index: i})
		state.start(state.members[i])
	}
	state.deliverAll()
	for range 3 {
		state.playEvent(eventTick, nil)
	}
	state.dial(state.members[0])
	state.deliverAll()
	state.playEvent(eventAcknowledge, state.members[0])
	state.playEvent(eventTick, nil)
	return state
}

// hash returns a hash of the state in which times are relative to the present time, so that equal
// states at different times have equal hashes.
func (state *modelState) hash() uint64 {
	h := fnv.New64a()
	age := func(at int64) int64 { return max(state.now-at, -99) }
	fmt.Fprint(h, state.streamMember, state.proxyLines, state.proxyToken,
		state.streamSerial-state.members[state.streamMember].knownStream)
	for _, member := range state.members {
		coordinator := member.coordinator
		fmt.Fprint(h, "|", member.running, member.cutOff, member.answersLost,
			member.knownStream == state.streamSerial, member.grantedStream == member.knownStream,
			member.lastWrittenStream == state.streamSerial, member.weight, member.unreleased,
			len(state.log)-member.applied, len(member.proposals),
			coordinator.withoutQuorum, age(coordinator.leaseStart), age(coordinator.lastProposedAt),
			len(coordinator.pending.Claims), len(coordinator.pending.TableChanges),
			len(coordinator.pending.Confirmations), coordinator.inFlight != nil, coordinator.tables)
		if claim := coordinator.proxies[0]; claim != nil {
			fmt.Fprint(h, *claim)
		}
		fmt.Fprint(h, coordinator.closing, age(state.leases.stoppedAt[coordinator.name]))
		if arrivals, ok := state.leases.arrivals[coordinator.incarnation]; ok {
			fmt.Fprint(h, age(arrivals.arrivedAt), age(arrivals.previousAt), age(arrivals.earliestLeaseStart))
		}
	}
	owned := state.record.Proxies[0]
	fmt.Fprint(h, owned.Owner, owned.Revision, state.record.Members[owned.Owner] == owned.Incarnation)
	if incarnation := state.record.Incarnations[owned.Incarnation]; incarnation != nil && incarnation.Tables[0] != nil {
		for _, backend := range slices.Sorted(maps.Keys(incarnation.Tables[0].Lines)) {
			fmt.Fprint(h, backend, incarnation.Tables[0].Lines[backend])
		}
	}
	return h.Sum64()
}
