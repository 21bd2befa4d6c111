package controller

import (
	"fmt"

	"wheelrill/balancer"
	"wheelrill/consensus"
	"wheelrill/ownership"
)

// OwnershipConfig says with whom a controller shares the ownership of proxies. The members agree on all of it but the folder and
// the files.
type OwnershipConfig struct {
	// Name is ours among the members; the controller's own if empty.
	Name string
	// Members has the address of each member for the others, by its name; ours is among them.
	Members map[string]string
	// Folder is for what must outlast the process; empty: nothing does, and a restart comes as a new member.
	Folder string
	consensus.Credentials
	// Lease is how long without an answer of the record it takes for a member to act by itself; 0 for 1.5 s.
	Lease ownership.Microseconds
}

// Figures that follow from no setting. A lease must fit into the time in which a drain has to reach all proxies, and an entry or two
// may be lost within it.
const (
	defaultLease     = 3 * microsPerSecond / 2
	renewalsPerLease = 8 // entries that are proposed in a lease, at least
	// reservedMessages are left to an owner of those that may be written to a proxy: its first table, what goes before that to one
	// that waits, a drain, and one more.
	reservedMessages = 4
	// unlimitedMessages may be written to a proxy where no setting limits them.
	unlimitedMessages = 1 << 20
)

// ShareOwnership has the controller share the ownership of its proxies from Serve on. It is called once, before Serve, and after
// JoinDistribution where the controller is a voter. An error says what would do.
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
	// New made decisions that act alone; they are made anew with our part of the messages, and their timers with them.
	loop.timers = nil
	if loop.decisions, err = c.configuration.newDecisions(loop, c.ownChannel(terms)); err != nil {
		return err
	}
	loop.ownership = host
	host.coordinator = ownership.New(host, config.Name, terms, loop.now)
	host.coordinatorTick(loop.now)
	return nil
}

// leaseTerms are what all members agree on.
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
		return terms, fmt.Errorf("lease: %d ms is too short for a tick of %s", terms.Duration/1000, c.limits.tick)
	}
	return terms, nil
}

// newConsensusNode makes our node of the record; that of a voter carries the distribution, too.
func (c *Controller) newConsensusNode(config OwnershipConfig, host *ownershipHost) (*consensus.Node, error) {
	nodeConfig := consensus.Config{Name: config.Name, Members: config.Members, Folder: config.Folder,
		Credentials: config.Credentials, Terms: host.terms}
	votes := c.distributor != nil && c.distributor.transport == nil
	if votes {
		nodeConfig.Distribution = c.distributor.becomeVoter(consensus.Peer{Name: config.Name, Address: config.Members[config.Name]})
	}
	node, err := consensus.New(nodeConfig, consensusEvents{c.loop, host}, c.log)
	if err == nil && votes {
		c.distributor.consensusNode = node
	}
	return node, err
}

// ownChannel is the push channel with our part of the messages that may be written to a proxy.
func (c *Controller) ownChannel(terms ownership.LeaseTerms) balancer.PushChannel {
	channel := c.configuration.channel
	if channel.MaxMessages > 0 {
		channel.MaxMessages = terms.UnownedQuota() + terms.OwnerQuota()
	}
	return channel
}
