package consensus

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/distribution"
	"wheelrill/ownership"
)

// The encoding of calls must not change: during an upgrade, a member of the previous release has to
// understand the calls of a member of this release.
func TestEncodedCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"a call to append an entry", memberRequest{Entry: &ownership.Entry{Member: "a", Incarnation: 1, Seq: 2}},
			"a101a501616102010302" + "0ea201fb000000000000000002fb0000000000000000" + "0ca201000200"},
		{"a call for the status", memberRequest{Status: true}, "a102f5"},
		{"a call to join", memberRequest{Name: "a", ID: "a/1"}, "a20361610463612f31"},
		{"a response", memberResponse{Accepted: true, Reason: "b", ID: "a/1", HasRecord: true, Leader: "a"},
			"a501f50261620363612f3104f5056161"},
		{"a call to subscribe", memberRequest{Subscribe: true}, "a105f5"},
		{"a call to change the configuration",
			memberRequest{Change: &distribution.Proposal{Entries: []distribution.Entry{{Scope: "s", Name: "n"}}}},
			"a106a10581a201617302616e"},
		{"a response to a change", memberResponse{Accepted: true, Version: &distribution.Version{Revision: 3}},
			"a201f506a10203"},
		{"a refusal of a change", memberResponse{Reason: "b", Refusal: refusedVersionMismatch}, "a20261620702"},
		{"a log entry that changes the configuration",
			configurationEntry{Kind: kindProposal, Proposal: distribution.Proposal{AcceptedAt: 5}},
			"8201a10405"},
	} {
		body, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(body); got != c.want {
			t.Errorf("%s: got encoding %s, want %s", c.name, got, c.want)
		}
	}
}

// The reasons on the wire for refused changes must not change between releases.
func TestReasonsOfRefusedChangesOnTheWire(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{distribution.ErrNoEpoch, "neither the record nor the proposal has an epoch"},
		{distribution.ErrVersionMismatch, "the record has changed since"},
		{distribution.ErrNoChange, "it changes nothing"},
		{distribution.ErrMalformed, "an entry has no scope or name, or is there twice"},
		{distribution.ErrTooLarge, "it is over the bound on a change"},
		{distribution.ErrFull, "the configuration would be over its bound"},
	} {
		if got := refusalReason(c.err); got != c.want {
			t.Errorf("error %v: got reason %q, want %q", c.err, got, c.want)
		}
	}
}
