package controller

import (
	"fmt"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/ownership"
)

// OwnershipConfig names the members that share the ownership of proxies. All members agree on all
// of it, except the name, the folder and the files of the credentials.
type OwnershipConfig struct {
	// Name is the name of this member; empty means the controller's own name.
	Name string
	// Members maps the name of each member, this one included, to the address on which the others
	// reach it.
	Members map[string]string
	// Folder stores the state that must outlast the process. If it is empty nothing does, and the
	// process joins as a new member after a restart.
	Folder string
	consensus.Credentials
	// Lease is the time without an answer of the record after which a member acts by itself; 0
	// means 1.5 s.
	Lease ownership.Microseconds
}

// Values that no setting determines. A lease must fit into the time in which a drain has to reach
// all proxies, and one or two of the entries that renew it may be lost.
const (
	defaultLease     = 3 * microsPerSecond / 2
	renewalsPerLease = 8 // entries that are proposed during a lease, at least
	// reservedMessages is the number of messages that an owner may always write to a proxy: its
	// first table, what is written before that to a proxy that waits, a drain, and one more.
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
	loop := c.loop
	terms, err := c.leaseTerms(config)
	if err != nil {
		return err
	}
	host := &ownershipHost{loop: loop, pending: map[int]pendingProxy{}, evidence: ownership.NewEvidence(), terms: terms}
	if host.node, err = c.newConsensusNode(config, host); err != nil {
		return err
	}
	// The decisions that New made assume that no other controller writes to the proxies. Replace
	// them and their timers by decisions that have this member's share of the messages.
	loop.timers = nil
	if loop.decisions, err = c.configuration.newDecisions(loop, c.memberChannel(terms)); err != nil {
		return err
	}
	loop.ownership = host
	host.coordinator = ownership.New(host, config.Name, terms, loop.now)
	host.coordinatorTick(loop.now)
	return nil
}

// leaseTerms returns the terms that all members agree on.
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

// newConsensusNode makes this member's node of the record. The node of a voter also distributes the
// configuration.
func (c *Controller) newConsensusNode(config OwnershipConfig, host *ownershipHost) (*consensus.Node, error) {
	nodeConfig := consensus.Config{Name: config.Name, Members: config.Members, Folder: config.Folder,
		Credentials: config.Credentials, Terms: host.terms}
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

// memberChannel returns the push channel with this member's share of the messages that may be
// written to a proxy.
func (c *Controller) memberChannel(terms ownership.LeaseTerms) balancer.PushChannel {
	channel := c.configuration.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.UnownedQuota() + terms.OwnerQuota()
	}
	return channel
}
