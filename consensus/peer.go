package consensus

import "strings"

// Peer is a node of the distribution as others know it. Nodes name each other by both fields, so that a subscriber can dial
// a node that another has told it of.
type Peer struct {
	// Name is that of its certificate.
	Name string
	// Address is host:port, or empty for a node that nobody dials.
	Address string
}

// PeerSeparator stands between name and address; no name has it.
const PeerSeparator = "@"

// String is the peer as it is named in messages.
func (p Peer) String() string {
	if p.Address == "" {
		return p.Name
	}
	return p.Name + PeerSeparator + p.Address
}

// ParsePeer reads a peer as it is named in messages.
func ParsePeer(text string) Peer {
	name, address, _ := strings.Cut(text, PeerSeparator)
	return Peer{name, address}
}

// maySubscribeAs tells whether a caller may subscribe under a name, which may be a Peer's string.
func (c caller) maySubscribeAs(name string) bool {
	return c.hasName == nil || c.hasName(ParsePeer(name).Name)
}
