package distribution

import "errors"

// Envelope is the encoded form of a message: exactly one field is set. The key of that field is the
// kind of the message on the wire.
type Envelope struct {
	// Subscribe asks a parent for a place. Kind 1, sent by a child.
	Subscribe *Subscribe `cbor:"1,keyasint,omitempty"`
	// Admitted grants a child a place. Kind 2, sent by a parent.
	Admitted *Admitted `cbor:"2,keyasint,omitempty"`
	// Refused denies a child a place, or revokes it. Kind 3, sent by a parent.
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	// Delta holds changes that follow the child's version. Kind 4, sent by a parent.
	Delta *Delta `cbor:"4,keyasint,omitempty"`
	// SnapshotPiece is one part of a snapshot. Kind 5, sent by a parent.
	SnapshotPiece *SnapshotPiece `cbor:"5,keyasint,omitempty"`
	// Heartbeat shows that the parent is running. Kind 6, sent by a parent.
	Heartbeat *Heartbeat `cbor:"6,keyasint,omitempty"`
	// Renew renews the child's lease and confirms messages. Kind 7, sent by a child.
	Renew *Renew `cbor:"7,keyasint,omitempty"`
}

// ErrEnvelope is returned for an envelope that holds no message, or more than one.
var ErrEnvelope = errors.New("distribution: the envelope holds no message or several, and must hold exactly one")

// NewEnvelope returns an envelope that holds the message.
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

// Message returns the message in the envelope, or ErrEnvelope if the envelope does not hold exactly
// one.
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
