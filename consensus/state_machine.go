package consensus

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// stateMachine is the raft.FSM to which raft applies its log. It holds the ownership record, whose
// entries it passes on to Events one by one, and the configuration record. Raft calls Apply,
// Snapshot and Restore one at a time.
type stateMachine struct {
	events       Events
	onUnreadable func(err error)

	mutex  sync.Mutex // protects the field record; the field configuration has its own lock
	record *ownership.Record

	configuration *configurationRecord
	snapshotBytes atomic.Int64 // size in bytes of the last snapshot that was written or restored
}

// Apply applies one entry of the log. An entry that cannot be decoded changes nothing; every member
// treats such an entry the same way. The result is a changeResult for a change of the distributed
// configuration, and nil otherwise.
func (m *stateMachine) Apply(entry *raft.Log) any {
	if isConfigurationEntry(entry.Data) {
		return m.configuration.apply(entry.Data, m.onUnreadable)
	}
	var ownershipEntry ownership.Entry
	if err := cbor.Unmarshal(entry.Data, &ownershipEntry); err != nil {
		m.onUnreadable(err)
		return nil
	}
	m.withRecord(func(record *ownership.Record) { record.Apply(ownershipEntry) })
	m.events.EntryCommitted(ownershipEntry)
	return nil
}

// withRecord calls use with the ownership record while it holds the mutex.
func (m *stateMachine) withRecord(use func(*ownership.Record)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	use(m.record)
}

// Snapshot returns a copy of the ownership record and the configuration record, which raft writes
// to a snapshot file later.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	body, err := cbor.Marshal(m.record)
	return &snapshot{record: body, configuration: m.configuration.state(), bytes: &m.snapshotBytes}, err
}

// Restore replaces the ownership record and the configuration record by those in a snapshot. If the
// snapshot cannot be read or decoded, Restore returns an error and changes nothing.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	body, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	record := ownership.NewRecord()
	if _, err := cbor.UnmarshalFirst(body, record); err != nil {
		return err
	}
	copied := ownership.NewRecord() // second copy, for SnapshotRestored, whose receiver may modify its copy
	rest, err := cbor.UnmarshalFirst(body, copied)
	if err != nil {
		return err
	}
	state, err := ReadConfiguration(rest)
	if err != nil {
		return err
	}
	m.withRecord(func(*ownership.Record) { m.record = record })
	m.snapshotBytes.Store(int64(len(body)))
	m.configuration.restore(state)
	m.events.SnapshotRestored(copied)
	return nil
}
