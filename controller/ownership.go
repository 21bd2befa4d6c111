package controller

import (
	"fmt"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/ownership"
)

// OwnershipConfig describes the members that share the ownership of proxies. All fields must be the
// same at all members, except the name, the folder and the files of the credentials.
type OwnershipConfig struct {
	// Name is the name of this member; empty means the controller's own name.
	Name string
	// Members maps the name of each member, this one included, to the address on which the others
	// reach it.
	Members map[string]string
	// Folder is where the member stores the state that has to survive a restart. If it is empty,
	// nothing is stored, and the process joins as a new member after a restart.
	Folder string
	consensus.Credentials
	// Lease is the time after which a member acts on its own if none of the member's entries was
	// committed to the replicated log; 0 means 1.5 s.
	Lease ownership.Microseconds
}

// Values that no setting determines. A lease must be shorter than the time within which a drain has
// to reach all proxies, and must not expire if one or two of the entries that renew it are lost.
const (
	defaultLease     = 3 * microsPerSecond / 2
	renewalsPerLease = 8 // number of entries that are proposed during one lease to renew it
	// reservedMessages is the number of messages that an owner may always write to a proxy: one
	// message before the first table, while the proxy waits for that table, one with the first
	// table, one for a drain, and one in reserve.
	reservedMessages = 4
	// unlimitedMessages is the number of messages that may be written to a proxy if no setting
	// limits them.
	unlimitedMessages = 1 << 20
)

// ShareOwnership makes the controller share the ownership of its proxies while it serves. It is
// called once, before Serve, and after JoinDistribution if the controller is a voter. An error
// names the value that is refused, and what is accepted.
func (c *Controller) ShareOwnership(config OwnershipConfig) error {
	if config.Name == "" {
		config.Name = c.configuration.Name
	}
	terms, err := c.leaseTerms(config)
	if err != nil {
		return err
	}
	host := &ownershipHost{loop: c.loop, pending: map[int]pendingProxy{}, evidence: ownership.NewEvidence(), terms: terms}
	if host.node, err = c.newConsensusNode(config, host); err != nil {
		return err
	}
	return c.startSharing(config.Name, host)
}

// startSharing makes the controller a member with the given name, whose entries the node of the host
// replicates.
func (c *Controller) startSharing(name string, host *ownershipHost) (err error) {
	loop := c.loop
	// The balancer.Controller that New made assumes that no other controller writes to the proxies.
	// Replace it and its timers by a balancer.Controller that has this member's share of the
	// messages.
	loop.timers = nil
	if loop.decisions, err = c.configuration.newDecisions(loop, c.memberChannel(host.terms)); err != nil {
		return err
	}
	loop.ownership = host
	host.coordinator = ownership.New(host, name, host.terms, loop.now)
	host.coordinatorTick(loop.now)
	return nil
}

// leaseTerms returns the terms of the leases, from the settings and config. They must be the same
// at all members.
func (c *Controller) leaseTerms(config OwnershipConfig) (ownership.LeaseTerms, error) {
	channel := c.configuration.channel
	terms := ownership.LeaseTerms{
		Duration:           config.Lease,
		MessageWindow:      channel.MessageWindow + channel.MaxLatency,
		MaxMessages:        channel.MaxMessages,
		Members:            len(config.Members),
		GuaranteedMessages: reservedMessages,
	}
	if terms.Duration == 0 {
		terms.Duration = defaultLease
	}
	if terms.MaxMessages == 0 {
		terms.MaxMessages = unlimitedMessages
	}
	terms.RenewInterval = terms.Duration / renewalsPerLease
	if terms.RenewInterval < c.limits.tick.Microseconds() {
		return terms, fmt.Errorf("lease: %d ms is too short for a tick of %s; it must last at least %d ticks",
			terms.Duration/1000, c.limits.tick, renewalsPerLease)
	}
	return terms, nil
}

// newConsensusNode makes this member's consensus node, which replicates the ownership record. The
// node of a voter also distributes the configuration.
func (c *Controller) newConsensusNode(config OwnershipConfig, host *ownershipHost) (*consensus.Node, error) {
	nodeConfig := consensus.Config{Name: config.Name, Members: config.Members, Folder: config.Folder,
		Credentials: config.Credentials, Terms: host.terms,
		Bounds: c.loop.memberBounds, MaxConnections: c.limits.maxMemberConnections}
	isVoter := c.distributor != nil && c.distributor.transport == nil
	if isVoter {
		nodeConfig.Distribution = c.distributor.becomeVoter(
			consensus.Peer{Name: config.Name, Address: config.Members[config.Name]})
	}
	node, err := consensus.New(nodeConfig, consensusEvents{c.loop, host}, c.log)
	if err == nil && isVoter {
		c.distributor.consensusNode = node
	}
	return node, err
}

// memberChannel returns the settings of the push channel with this member's share of the messages
// that may be written to a proxy.
func (c *Controller) memberChannel(terms ownership.LeaseTerms) balancer.PushChannel {
	channel := c.configuration.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.MemberQuota()
	}
	return channel
}
