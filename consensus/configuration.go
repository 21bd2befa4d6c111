package consensus

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
)

// Distribution receives the states and changes of the configuration record in order, and serves the
// subscribers of the distributed configuration. Restored and Accepted are called one at a time on
// raft's goroutine, Current on a goroutine of the Node, and Accept on one goroutine for each
// connection. The methods may block, but must not wait for a call to the Node.
type Distribution interface {
	// Restored passes on the whole distributed configuration, which replaces all earlier states and
	// changes.
	Restored(state distribution.State)
	// Accepted passes on the next change of the distributed configuration.
	Accepted(change distribution.Change)
	// Current reports that, at the time of the call, the replicated record has a leader with a
	// majority, and this member has every change of the distributed configuration that was
	// committed more than a heartbeat timeout earlier.
	Current()
	// Accept serves the connection of a subscriber until the connection ends, and closes it. The
	// subscriber may subscribe only under names for which allowed returns true.
	Accept(conn net.Conn, allowed func(name string) bool)
}

// entryKind states what a configurationEntry contains. The only kind is kindProposal.
type entryKind uint8

const kindProposal entryKind = 1

// configurationEntry is an entry of raft's log that changes the distributed configuration. It is
// encoded as a CBOR array, which distinguishes it from entries of the ownership record, which are
// CBOR maps.
type configurationEntry struct {
	_        struct{} `cbor:",toarray"`
	Kind     entryKind
	Proposal distribution.Proposal
}

// cborArray is the major type of a CBOR array, which is in the upper three bits of the first byte.
const cborArray = 4

// isConfigurationEntry reports whether an entry of raft's log encodes a configurationEntry.
func isConfigurationEntry(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborArray }

// configurationRecord is the part of the state machine that holds the configuration record, whose
// content is the distributed configuration. The distributed configuration is neither the Config
// that the operator sets nor raft's list of voters. Every member holds the record, whether or not
// it serves subscribers.
type configurationRecord struct {
	distribution Distribution             // receives the changes; nil if this member serves no subscribers
	onEpoch      func(distribution.Epoch) // called with the epoch of each accepted change and restored snapshot

	mutex  sync.Mutex // protects the field record
	record *distribution.Record
}

// newConfigurationRecord returns an empty record that reports its changes to receiver. Both
// parameters may be nil.
func newConfigurationRecord(receiver Distribution, onEpoch func(distribution.Epoch)) *configurationRecord {
	if onEpoch == nil {
		onEpoch = func(distribution.Epoch) {}
	}
	return &configurationRecord{distribution: receiver, onEpoch: onEpoch, record: distribution.NewRecord()}
}

// changeResult is the outcome of applying a proposal to the configuration record.
type changeResult struct {
	version distribution.Version // version of the configuration record after the change
	err     error                // nil, or an error of distribution.Record.Apply or of decoding the log entry
}

// apply applies an entry of the log completely or not at all. An entry that cannot be decoded
// changes nothing; every member treats such an entry the same way.
func (c *configurationRecord) apply(data []byte, onUnreadable func(error)) changeResult {
	var entry configurationEntry
	err := cbor.Unmarshal(data, &entry)
	if err == nil && entry.Kind != kindProposal {
		err = fmt.Errorf("consensus: a configuration entry has the unknown kind %d; the only known kind is %d",
			entry.Kind, kindProposal)
	}
	if err != nil {
		onUnreadable(err)
		return changeResult{err: err}
	}
	return c.accept(entry.Proposal)
}

// accept applies a proposal to the configuration record, or refuses the proposal. It passes the
// first change of an empty record to Distribution.Restored, as a whole state, and each later change
// to Distribution.Accepted. A proposal that was accepted before changes nothing, and has the result
// that it had then.
func (c *configurationRecord) accept(proposal distribution.Proposal) changeResult {
	c.mutex.Lock()
	first := c.record.Empty()
	change, err := c.record.Apply(proposal)
	version := c.record.Version()
	var firstState distribution.State
	if err == nil && first {
		firstState = c.record.State()
	}
	c.mutex.Unlock()
	var already distribution.AlreadyAcceptedError
	if errors.As(err, &already) {
		return changeResult{version: already.Version}
	}
	if err != nil {
		return changeResult{err: err}
	}
	c.onEpoch(version.Epoch)
	switch {
	case c.distribution == nil:
	case first:
		c.distribution.Restored(firstState)
	default:
		c.distribution.Accepted(change)
	}
	return changeResult{version: version}
}

// state returns the content of the configuration record for a snapshot; nil if the record is empty.
func (c *configurationRecord) state() *distribution.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.record.Empty() {
		return nil
	}
	state := c.record.State()
	return &state
}

// restore replaces the content of the configuration record by the state from a snapshot; state is
// nil if the snapshot holds no configuration.
func (c *configurationRecord) restore(state *distribution.State) {
	record := distribution.NewRecord()
	if state != nil {
		record = distribution.RestoreRecord(*state)
		c.onEpoch(state.Version.Epoch)
	}
	c.mutex.Lock()
	c.record = record
	c.mutex.Unlock()
	if state != nil && c.distribution != nil {
		c.distribution.Restored(*state)
	}
}

// view calls read with the configuration record while it holds the mutex.
func (c *configurationRecord) view(read func(*distribution.Record)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	read(c.record)
}

// empty reports whether the configuration record contains no accepted change.
func (c *configurationRecord) empty() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.record.Empty()
}
