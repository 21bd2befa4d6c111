package distribution

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestEncodedHeartbeatAndRenewAreSmall(t *testing.T) {
	heartbeat := &Heartbeat{
		Epoch:    Epoch{1_790_000_000, 1 << 60},
		Previous: 12_345_678,
		Revision: 12_345_678,
		Digest:   Digest{1 << 60, 1 << 61},
		Path:     []string{"voter-1", "relay-12", "relay-345"},
		Age:      123_456,
		Source:   Version{Epoch{1_790_000_000, 1 << 60}, 12_345_678},
	}
	encoded, err := cbor.Marshal(NewEnvelope(heartbeat))
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > 128 || heartbeat.Size() < len(encoded)*3/4 {
		t.Errorf("the heartbeat has %d bytes, want at most 128; Size gives %d, want at least three quarters of them",
			len(encoded), heartbeat.Size())
	}
	renew, err := cbor.Marshal(NewEnvelope(&Renew{Version: heartbeat.Source, Received: 100_000}))
	if err != nil {
		t.Fatal(err)
	}
	if len(renew) > 48 {
		t.Errorf("the Renew has %d bytes, want at most 48", len(renew))
	}
}

func TestEnvelopeMustHoldExactlyOneMessage(t *testing.T) {
	for _, envelope := range []Envelope{{}, {Renew: &Renew{}, Refused: &Refused{}}} {
		if m, err := envelope.Message(); err == nil {
			t.Errorf("Message of %+v returned %v and no error, want an error", envelope, m)
		}
	}
	for _, m := range []Message{
		&Subscribe{}, &Admitted{}, &Refused{}, &Delta{}, &SnapshotPiece{}, &Heartbeat{}, &Renew{},
	} {
		if got, err := NewEnvelope(m).Message(); err != nil || got != m {
			t.Errorf("the envelope of a %T returned %T and the error %v, want the same message", m, got, err)
		}
	}
}
