package consensus

import (
	"fmt"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
)

// Distribution is told the distributed configuration as the record has it, in order, and serves those who subscribe to it.
// Restored and Accepted are called one at a time on raft's goroutine, Current on the Node's, Accept on one for each
// connection. They may block, but must not wait for a call of the Node.
type Distribution interface {
	// Restored gives the whole distributed configuration.
	Restored(state distribution.State)
	// Accepted gives the next change.
	Accepted(change distribution.Change)
	// Current says that a majority was just known to be led, and that we have all that it has accepted.
	Current()
	// Accept serves the connection of a subscriber until it ends, and closes it. It may subscribe under the names that are
	// allowed.
	Accept(conn net.Conn, allowed func(name string) bool)
}

// entryKind is the kind of a configurationEntry.
type entryKind uint8

const kindProposal entryKind = 1

// configurationEntry is an entry of raft's log that changes the distributed configuration. It is encoded as an array, by
// which it is told from entries of the ownership record, which are maps.
type configurationEntry struct {
	_        struct{} `cbor:",toarray"`
	Kind     entryKind
	Proposal distribution.Proposal
}

// cborArray is CBOR's major type of arrays, the upper three bits of a first byte.
const cborArray = 4

func isConfigurationEntry(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborArray }

// configurationRecord is the part of the state machine that holds the configuration record: the distributed configuration,
// which is neither the operator's nor raft's own. Every member has it, whether or not anybody can subscribe there.
type configurationRecord struct {
	distribution Distribution             // nil where nobody can subscribe
	onEpoch      func(distribution.Epoch) // of each change and snapshot

	mutex  sync.Mutex // over record
	record *distribution.Record
}

// newConfigurationRecord makes an empty one. Distribution and onEpoch may be nil.
func newConfigurationRecord(told Distribution, onEpoch func(distribution.Epoch)) *configurationRecord {
	if onEpoch == nil {
		onEpoch = func(distribution.Epoch) {}
	}
	return &configurationRecord{distribution: told, onEpoch: onEpoch, record: distribution.NewRecord()}
}

// changeResult is what became of a proposal.
type changeResult struct {
	version distribution.Version
	err     error // one of distribution's, or that the entry cannot be read
}

// apply applies an entry of the log, whole or not at all. One that cannot be read changes nothing, at every member alike.
func (c *configurationRecord) apply(data []byte, onUnreadable func(error)) changeResult {
	var entry configurationEntry
	err := cbor.Unmarshal(data, &entry)
	if err == nil && entry.Kind != kindProposal {
		err = fmt.Errorf("consensus: an entry of the unknown kind %d", entry.Kind)
	}
	if err != nil {
		onUnreadable(err)
		return changeResult{err: err}
	}
	return c.accept(entry.Proposal)
}

// accept makes a proposal the next change, or refuses it, and tells the distribution: of the first change as a whole.
func (c *configurationRecord) accept(proposal distribution.Proposal) changeResult {
	c.mutex.Lock()
	first := c.record.Empty()
	change, err := c.record.Apply(proposal)
	version := c.record.Version()
	var whole distribution.State
	if err == nil && first {
		whole = c.record.State()
	}
	c.mutex.Unlock()
	if err != nil {
		return changeResult{err: err}
	}
	c.onEpoch(version.Epoch)
	switch {
	case c.distribution == nil:
	case first:
		c.distribution.Restored(whole)
	default:
		c.distribution.Accepted(change)
	}
	return changeResult{version: version}
}

// state is the record's content for a snapshot; nil where it is empty.
func (c *configurationRecord) state() *distribution.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.record.Empty() {
		return nil
	}
	state := c.record.State()
	return &state
}

// restore replaces the record's content by that of a snapshot; nil where it had none.
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

// view calls a function with the record, under the lock.
func (c *configurationRecord) view(look func(*distribution.Record)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	look(c.record)
}

// empty tells whether nothing was ever accepted.
func (c *configurationRecord) empty() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.record.Empty()
}
