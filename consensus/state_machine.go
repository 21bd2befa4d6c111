package consensus

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// stateMachine takes the entries of raft's log into a record, and hands them on in their order.
type stateMachine struct {
	events       Events
	onUnreadable func(err error)

	mutex  sync.Mutex
	record *ownership.Record
	bytes  atomic.Int64 // of the last snapshot

	configuration *configuration
}

// Apply takes one entry in. One that cannot be read stands on the record of every member alike, and changes nothing.
func (m *stateMachine) Apply(l *raft.Log) any {
	if isConfigurationEntry(l.Data) {
		return m.configuration.apply(l.Data, m.onUnreadable)
	}
	var e ownership.Entry
	if err := cbor.Unmarshal(l.Data, &e); err != nil {
		m.onUnreadable(err)
		return nil
	}
	m.mutex.Lock()
	m.record.Apply(e)
	m.mutex.Unlock()
	m.events.EntryCommitted(e)
	return nil
}

// withRecord gives access to the record.
func (m *stateMachine) withRecord(what func(*ownership.Record)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	what(m.record)
}

// Snapshot gives the record as it stands.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	body, err := cbor.Marshal(m.record)
	return &snapshot{record: body, configuration: m.configuration.state(), bytes: &m.bytes}, err
}

// Restore takes a record in place of all entries before.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	body, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	ours, theirs := ownership.NewRecord(), ownership.NewRecord()
	var rest []byte
	for _, record := range []*ownership.Record{ours, theirs} {
		if rest, err = cbor.UnmarshalFirst(body, record); err != nil {
			return err
		}
	}
	configuration, err := ReadConfiguration(rest)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	m.record = ours
	m.bytes.Store(int64(len(body)))
	m.mutex.Unlock()
	m.configuration.restore(configuration)
	m.events.SnapshotRestored(theirs)
	return nil
}

// snapshot is the record, and behind it the configuration if there is any: so it reads like one of before, where nothing
// is distributed.
type snapshot struct {
	record        []byte
	configuration *distribution.State
	bytes         *atomic.Int64
}

// Persist writes it.
func (s *snapshot) Persist(to raft.SnapshotSink) error {
	counted := &countingWriter{to: to}
	if err := s.write(counted); err != nil {
		to.Cancel()
		return err
	}
	s.bytes.Store(counted.bytes)
	return to.Close()
}

func (s *snapshot) write(to io.Writer) error {
	if _, err := to.Write(s.record); err != nil {
		return err
	}
	if s.configuration == nil {
		return nil
	}
	return WriteConfiguration(to, s.configuration)
}

// Release does nothing: a snapshot holds no more than copies.
func (s *snapshot) Release() {}

type countingWriter struct {
	to    io.Writer
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes += int64(n)
	return n, err
}
