package distribution

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestHeartbeatsAndRenewsTakeFewBytes(t *testing.T) {
	beat := &Heartbeat{
		Epoch:    Epoch{1_790_000_000, 1 << 60},
		Previous: 12_345_678,
		Revision: 12_345_678,
		Digest:   Digest{1 << 60, 1 << 61},
		Path:     []string{"voter-1", "relay-12", "relay-345"},
		Age:      123_456,
		Source:   Version{Epoch{1_790_000_000, 1 << 60}, 12_345_678},
	}
	encoded, err := cbor.Marshal(NewEnvelope(beat))
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > 128 || beat.Size() < len(encoded)*3/4 {
		t.Errorf("a heartbeat has %d bytes, estimated %d", len(encoded), beat.Size())
	}
	renew, err := cbor.Marshal(NewEnvelope(&Renew{Version: beat.Source, Received: 100_000}))
	if err != nil {
		t.Fatal(err)
	}
	if len(renew) > 48 {
		t.Errorf("a renewal has %d bytes", len(renew))
	}
}

func TestEnvelopeMustHoldJustOneMessage(t *testing.T) {
	for _, envelope := range []Envelope{{}, {Renew: &Renew{}, Refused: &Refused{}}} {
		if m, err := envelope.Message(); err == nil {
			t.Errorf("%+v gives %v", envelope, m)
		}
	}
	for _, m := range []Message{&Subscribe{}, &Admitted{}, &Refused{}, &Delta{}, &SnapshotPiece{}, &Heartbeat{}, &Renew{}} {
		if got, err := NewEnvelope(m).Message(); err != nil || got != m {
			t.Errorf("%T comes back as %T, %v", m, got, err)
		}
	}
}
