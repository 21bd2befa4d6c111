package distribution

import "errors"

// Envelope is a message as it is encoded: just one of the fields is set. The key of the field is the message's kind on
// the wire.
type Envelope struct {
	// Subscribe is the message of kind 1, of a child.
	Subscribe *Subscribe `cbor:"1,keyasint,omitempty"`
	// Admitted is the message of kind 2, of a parent.
	Admitted *Admitted `cbor:"2,keyasint,omitempty"`
	// Refused is the message of kind 3, of a parent.
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	// Delta is the message of kind 4, of a parent.
	Delta *Delta `cbor:"4,keyasint,omitempty"`
	// SnapshotPiece is the message of kind 5, of a parent.
	SnapshotPiece *SnapshotPiece `cbor:"5,keyasint,omitempty"`
	// Heartbeat is the message of kind 6, of a parent.
	Heartbeat *Heartbeat `cbor:"6,keyasint,omitempty"`
	// Renew is the message of kind 7, of a child.
	Renew *Renew `cbor:"7,keyasint,omitempty"`
}

// ErrEnvelope says that an envelope held no message, or several.
var ErrEnvelope = errors.New("distribution: an envelope must hold just one message")

// NewEnvelope gives the message's envelope.
func NewEnvelope(m Message) Envelope {
	switch m := m.(type) {
	case *Subscribe:
		return Envelope{Subscribe: m}
	case *Admitted:
		return Envelope{Admitted: m}
	case *Refused:
		return Envelope{Refused: m}
	case *Delta:
		return Envelope{Delta: m}
	case *SnapshotPiece:
		return Envelope{SnapshotPiece: m}
	case *Heartbeat:
		return Envelope{Heartbeat: m}
	case *Renew:
		return Envelope{Renew: m}
	}
	return Envelope{}
}

// Message gives the message in the envelope; ErrEnvelope if there is not just one.
func (e Envelope) Message() (Message, error) {
	var found []Message
	if e.Subscribe != nil {
		found = append(found, e.Subscribe)
	}
	if e.Admitted != nil {
		found = append(found, e.Admitted)
	}
	if e.Refused != nil {
		found = append(found, e.Refused)
	}
	if e.Delta != nil {
		found = append(found, e.Delta)
	}
	if e.SnapshotPiece != nil {
		found = append(found, e.SnapshotPiece)
	}
	if e.Heartbeat != nil {
		found = append(found, e.Heartbeat)
	}
	if e.Renew != nil {
		found = append(found, e.Renew)
	}
	if len(found) != 1 {
		return nil, ErrEnvelope
	}
	return found[0], nil
}
