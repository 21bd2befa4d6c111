package consensus

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
)

// snapshot is the raft.FSMSnapshot of a stateMachine: it holds the encoded ownership record, and
// the content of the configuration record unless the configuration record is empty.
type snapshot struct {
	record        []byte              // the encoded ownership record
	configuration *distribution.State // the configuration record; nil if it is empty
	bytes         *atomic.Int64       // Persist sets this counter to the number of bytes that it has written
}

// Persist writes the snapshot to a sink.
func (s *snapshot) Persist(to raft.SnapshotSink) error {
	counted := &countingWriter{to: to}
	if err := s.write(counted); err != nil {
		_ = to.Cancel() // Persist returns the error of the write, not the error of Cancel
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

// Release does nothing, as a snapshot holds only copies.
func (s *snapshot) Release() {}

// countingWriter passes writes on, and counts their bytes.
type countingWriter struct {
	to    io.Writer
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes += int64(n)
	return n, err
}

// entriesPerChunk is the maximum number of entries of a distributed configuration that are encoded
// as one array.
const entriesPerChunk = 1024

// WriteConfiguration writes a distributed configuration as a CBOR sequence: first the State without
// its entries, then the entries in arrays of at most entriesPerChunk.
func WriteConfiguration(to io.Writer, state *distribution.State) error {
	encoder := cbor.NewEncoder(to)
	head := *state
	head.Entries = nil
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for remaining := state.Entries; len(remaining) > 0; {
		chunk := remaining[:min(entriesPerChunk, len(remaining))]
		if err := encoder.Encode(chunk); err != nil {
			return err
		}
		remaining = remaining[len(chunk):]
	}
	return nil
}

// ErrNoEpoch means that the decoded body has no epoch, so that it cannot be a stored distributed
// configuration.
var ErrNoEpoch = errors.New("consensus: the stored configuration has no epoch")

// ReadConfiguration decodes the output of WriteConfiguration. It returns nil for an empty body,
// which is also the body of a snapshot without a configuration. The error is ErrNoEpoch, or an
// error of the decoder.
func ReadConfiguration(body []byte) (*distribution.State, error) {
	if len(body) == 0 {
		return nil, nil
	}
	state := &distribution.State{}
	rest, err := cbor.UnmarshalFirst(body, state)
	for err == nil && len(rest) > 0 {
		var chunk []distribution.Entry
		rest, err = cbor.UnmarshalFirst(rest, &chunk)
		state.Entries = append(state.Entries, chunk...)
	}
	if err == nil && !state.Version.Epoch.Known() {
		err = ErrNoEpoch
	}
	return state, err
}
