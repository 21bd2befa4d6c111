package consensus

import "strings"

// Peer is the identity of a node that takes part in distributing the configuration. Messages
// between nodes contain both fields, so that a subscriber can dial a node that it knows only from
// the messages of another node.
type Peer struct {
	// Name is the name in the node's certificate.
	Name string
	// Address is host:port, or empty for a node that does not accept connections.
	Address string
}

// PeerSeparator separates the name from the address in the text form of a Peer. Names must not
// contain it.
const PeerSeparator = "@"

// String returns the text form of a Peer, which messages contain: name@address, or the name alone
// if the Peer has no address.
func (p Peer) String() string {
	if p.Address == "" {
		return p.Name
	}
	return p.Name + PeerSeparator + p.Address
}

// ParsePeer returns the Peer with the given text form: name@address, or the name alone.
func ParsePeer(text string) Peer {
	name, address, _ := strings.Cut(text, PeerSeparator)
	return Peer{name, address}
}

// maySubscribeAs reports whether the caller may subscribe under a name. The name may also be the
// text form of a Peer.
func (c caller) maySubscribeAs(name string) bool {
	return c.hasName == nil || c.hasName(ParsePeer(name).Name)
}
