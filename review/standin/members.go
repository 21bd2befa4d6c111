package main

import (
	"fmt"
	"strings"
	"time"
)

// sharing describes voters: controllers that share their proxies and vote on configuration.
type sharing struct {
	names     []string
	addresses map[string]string // address of each member for the others
}

// startAlone starts controllers that share nothing, and waits until each is ready.
func (r *run) startAlone(figures deployment, names ...string) (members []*member) {
	for _, name := range names {
		members = append(members, r.newMember(figures, name, r.freeAddresses(1)[0], ""))
	}
	r.startAll(members)
	return members
}

// startVoters starts voters, and waits until each is on the record.
func (r *run) startVoters(figures deployment, s *sharing) (members []*member) {
	s.addresses = map[string]string{}
	addresses := r.freeAddresses(2 * len(s.names))
	for i, name := range s.names {
		s.addresses[name] = addresses[2*i]
	}
	for i, name := range s.names {
		members = append(members, r.newMember(figures, name, addresses[2*i+1], voterOptions(s, name)))
	}
	r.startAll(members)
	for _, m := range members {
		r.require(m.awaitLog(0, 20*time.Second, "msg=quorum_changed", "quorum=true") != "", "%s does not enter the record", m.name)
	}
	return members
}

// newMember prepares a controller and its discovery.
func (r *run) newMember(figures deployment, name, listen, options string) *member {
	d := r.newDiscovery(name, figures.servers())
	known := list{Version: 1, Full: true, Servers: figures.servers()}
	return &member{controller: r.newController(name, listen, d.address, options, figures.settings(), known), discovery: d}
}

// startAll starts controllers and waits until each answers that it is alive.
func (r *run) startAll(members []*member) {
	for _, m := range members {
		m.start()
	}
	for _, m := range members {
		r.require(await(30*time.Second, func() bool { return probe(m.listen) }), "%s does not get ready", m.name)
	}
}

// subscriberOptions returns the options file of a subscriber to the voters.
func subscriberOptions(s *sharing, name string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "distribution:\n  role: subscriber\n  name: %s\n  plain: true\n  scopes: [pricing]\n  parents:\n", name)
	for _, voter := range s.names {
		fmt.Fprintf(&text, "    %s: %s\n", voter, s.addresses[voter])
	}
	return text.String()
}

// accepted has a voter change what is distributed, and waits until it says that this is on the
// record.
func (r *run) accepted(m *member, entries map[string]any) {
	mark := m.mark()
	m.distribute(entries)
	r.require(m.awaitLog(mark, 8*time.Second, "msg=change_accepted") != "", "%s: the change is not accepted", m.name)
}

// drains returns the distributed entries of the scope pricing that drain backends.
func drains(ids ...string) map[string]any {
	if len(ids) == 0 {
		return map[string]any{}
	}
	drained := map[string]any{}
	for _, id := range ids {
		drained[id] = true
	}
	return map[string]any{"pricing": map[string]any{"drain": drained}}
}

// voterOptions returns the options file of a voter.
func voterOptions(s *sharing, name string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "sharing:\n  name: %s\n  plain: true\n  members:\n", name)
	for _, other := range s.names {
		fmt.Fprintf(&text, "    %s: %s\n", other, s.addresses[other])
	}
	text.WriteString("distribution:\n  role: voter\n")
	return text.String()
}
