package controller

import (
	"context"
	"fmt"
	"log/slog"

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
	// committed to the replicated log. 0 means 1.5 s, or less where a drain has to reach the proxies
	// sooner.
	Lease ownership.Microseconds
}

// Values that no setting determines. A lease must not expire if one or two of the entries that renew
// it are lost.
const (
	maxDefaultLease  = 3 * microsPerSecond / 2
	minDefaultLease  = 4 * microsPerSecond / 5 // two of the shortest heartbeat timeouts of the record
	renewalsPerLease = 8                       // number of entries that are proposed during one lease to renew it
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
	// Replace it and its timers by a balancer.Controller that shares the limit of messages.
	loop.timers = nil
	channel := c.configuration.channel
	channel.SharedProxies = true
	if loop.decisions, err = c.configuration.newDecisions(loop, channel); err != nil {
		return err
	}
	c.logMessagePace()
	loop.ownership = host
	host.coordinator = ownership.New(host, name, host.terms, loop.now)
	host.coordinatorTick(loop.now)
	return nil
}

// leaseTerms returns the terms of the leases, from the settings and config. They must be the same
// at all members.
func (c *Controller) leaseTerms(config OwnershipConfig) (ownership.LeaseTerms, error) {
	terms := ownership.LeaseTerms{Duration: config.Lease, Members: len(config.Members)}
	if terms.Duration == 0 {
		terms.Duration = c.defaultLease()
	}
	terms.RenewInterval = terms.Duration / renewalsPerLease
	if terms.RenewInterval < c.limits.tick.Microseconds() {
		return terms, fmt.Errorf("lease: %d ms is too short for a tick of %s; it must last at least %d ticks",
			terms.Duration/1000, c.limits.tick, renewalsPerLease)
	}
	return terms, nil
}

// defaultLease returns the lease if none is configured: a change that waits for the record until the
// end of the lease is still to reach the proxies within the drain grace.
func (c *Controller) defaultLease() ownership.Microseconds {
	grace := c.configuration.rules.DrainGrace - c.configuration.channel.MaxLatency
	return min(maxDefaultLease, max(minDefaultLease, grace))
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

// logMessagePace logs how often this member may write to a proxy, so that all members together keep
// the limit of messages, and whether drains are in time at this pace.
func (c *Controller) logMessagePace() {
	interval, burst, keepsGrace := c.loop.decisions.MessagePace()
	level := slog.LevelInfo
	if !keepsGrace {
		level = slog.LevelWarn
	}
	c.log.Log(context.Background(), level, "message_pace", "interval_s", formatDecimal(inSeconds(interval), 2),
		"burst", burst, "keeps_drain_grace", keepsGrace)
}
