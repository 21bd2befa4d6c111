package consensus

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// stateMachine is what raft applies its log to: the ownership record, which it hands on entry by entry, and the
// configuration record. Raft calls Apply, Snapshot and Restore one at a time.
type stateMachine struct {
	events       Events
	onUnreadable func(err error)

	mutex  sync.Mutex // over record; configuration has a lock of its own
	record *ownership.Record

	configuration *configurationRecord
	snapshotBytes atomic.Int64 // of the last snapshot
}

// Apply applies one entry. One that cannot be read changes nothing, at every member alike. The result is a changeResult
// for a change of the distributed configuration, and nil otherwise.
func (m *stateMachine) Apply(entry *raft.Log) any {
	if isConfigurationEntry(entry.Data) {
		return m.configuration.apply(entry.Data, m.onUnreadable)
	}
	var e ownership.Entry
	if err := cbor.Unmarshal(entry.Data, &e); err != nil {
		m.onUnreadable(err)
		return nil
	}
	m.withRecord(func(record *ownership.Record) { record.Apply(e) })
	m.events.EntryCommitted(e)
	return nil
}

// withRecord calls a function with the record, under the lock.
func (m *stateMachine) withRecord(use func(*ownership.Record)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	use(m.record)
}

// Snapshot gives the state as it is now; it is written later.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	body, err := cbor.Marshal(m.record)
	return &snapshot{record: body, configuration: m.configuration.state(), bytes: &m.snapshotBytes}, err
}

// Restore replaces the state by a snapshot. One that is damaged changes nothing.
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
	copied := ownership.NewRecord() // the receiver of the event owns it
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
