package consensus

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/distribution"
)

// snapshot is the encoded ownership record, and behind it the configuration record if there is any.
type snapshot struct {
	record        []byte              // the ownership record
	configuration *distribution.State // of the configuration record; nil while it is empty
	bytes         *atomic.Int64       // is set to how many were written
}

// Persist writes it to a sink.
func (s *snapshot) Persist(to raft.SnapshotSink) error {
	counted := &countingWriter{to: to}
	if err := s.write(counted); err != nil {
		_ = to.Cancel() // the error before it counts
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

// Release does nothing: a snapshot holds copies alone.
func (s *snapshot) Release() {}

// countingWriter counts the bytes that are written through it.
type countingWriter struct {
	to    io.Writer
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes += int64(n)
	return n, err
}

// entriesPerPiece is how many entries of a distributed configuration are encoded at a time.
const entriesPerPiece = 1024

// WriteConfiguration writes a distributed configuration as a CBOR sequence: first what it is without its entries, then
// these in arrays of at most entriesPerPiece.
func WriteConfiguration(to io.Writer, state *distribution.State) error {
	encoder := cbor.NewEncoder(to)
	head := *state
	head.Entries = nil
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for left := state.Entries; len(left) > 0; {
		piece := left[:min(entriesPerPiece, len(left))]
		if err := encoder.Encode(piece); err != nil {
			return err
		}
		left = left[len(piece):]
	}
	return nil
}

// ErrNoEpoch says that a stored distributed configuration is none that WriteConfiguration wrote.
var ErrNoEpoch = errors.New("consensus: a configuration without an epoch")

// ReadConfiguration reads what WriteConfiguration wrote; nil where there is nothing to read: an empty body is not told from
// one that never had a configuration. The error is ErrNoEpoch, or one of the decoder.
func ReadConfiguration(body []byte) (*distribution.State, error) {
	if len(body) == 0 {
		return nil, nil
	}
	state := &distribution.State{}
	rest, err := cbor.UnmarshalFirst(body, state)
	for err == nil && len(rest) > 0 {
		var piece []distribution.Entry
		rest, err = cbor.UnmarshalFirst(rest, &piece)
		state.Entries = append(state.Entries, piece...)
	}
	if err == nil && !state.Version.Epoch.Known() {
		err = ErrNoEpoch
	}
	return state, err
}
