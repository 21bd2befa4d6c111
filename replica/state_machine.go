package replica

import (
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/share"
)

// stateMachine takes the entries of raft's log into a record, and hands them on in their order.
type stateMachine struct {
	events Events
	failed func(err error)

	mutex  sync.Mutex
	record *share.Record
	bytes  int // of the last snapshot
}

// Apply takes one entry in. One that cannot be read stands on the record of every member alike, and changes nothing.
func (m *stateMachine) Apply(l *raft.Log) any {
	var e share.Entry
	if err := cbor.Unmarshal(l.Data, &e); err != nil {
		m.failed(err)
		return nil
	}
	m.mutex.Lock()
	m.record.Apply(e)
	m.mutex.Unlock()
	m.events.Recorded(e)
	return nil
}

// withRecord gives access to the record.
func (m *stateMachine) withRecord(what func(*share.Record)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	what(m.record)
}

// Snapshot gives the record as it stands.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	body, err := cbor.Marshal(m.record)
	m.bytes = len(body)
	return snapshot(body), err
}

// Restore takes a record in place of all entries before.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	body, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	ours, theirs := share.NewRecord(), share.NewRecord()
	for _, record := range []*share.Record{ours, theirs} {
		if err := cbor.Unmarshal(body, record); err != nil {
			return err
		}
	}
	m.mutex.Lock()
	m.record, m.bytes = ours, len(body)
	m.mutex.Unlock()
	m.events.Restored(theirs)
	return nil
}

type snapshot []byte

// Persist writes it.
func (s snapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		to.Cancel()
		return err
	}
	return to.Close()
}

// Release does nothing: a snapshot holds no more than its bytes.
func (s snapshot) Release() {}
