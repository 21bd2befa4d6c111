package consensus

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

const (
	pollInterval = 200 * time.Millisecond // between two looks at our membership
	costInterval = 10 * time.Second       // between two lines that tell the record's cost
)

// membershipLoop is the state of maintainMembership, which alone uses it.
type membershipLoop struct {
	*Node
	leaderlessPolls int // in a row
	currency        currency
	cost            costSample // as of the last line
}

// costSample is what the record had cost at some time.
type costSample struct {
	at    time.Time
	bytes int64
	index uint64
}

// maintainMembership has us become part of the record, and stay it, until the context ends.
func (n *Node) maintainMembership(ctx context.Context) {
	loop := &membershipLoop{Node: n, cost: costSample{at: time.Now(), bytes: n.transport.bytes.Load()}}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-n.current().raft.LeaderCh():
			loop.currency.reset()
			n.log.Info("leading", "leads", leads, "name", n.config.Name)
		case <-poll.C:
			if err := loop.poll(ctx); err != nil {
				n.log.Error("record_failed", "error", err.Error())
				return
			}
		}
	}
}

// poll looks at our membership once. An error ends our part in the record.
func (l *membershipLoop) poll(ctx context.Context) error {
	current := l.current()
	l.logCost(current)
	if current.raft.State() == raft.Leader {
		l.probeSilentMembers(ctx)
	}
	if l.leaderName() != "" && current.isMember() {
		l.leaderlessPolls = 0
		l.reportCurrent(current)
		return nil
	}
	l.currency.reset()
	l.leaderlessPolls++
	step := l.nextStep(ctx, current)
	if step.Action == ownership.StartOver {
		return l.startOver(current)
	}
	l.take(ctx, current, step)
	return nil
}

// nextStep asks the others, and gives what we do to be part of a record.
func (l *membershipLoop) nextStep(ctx context.Context, current *instance) ownership.Step {
	others := map[string]ownership.PeerStatus{}
	for name := range l.config.Members {
		if name == l.config.Name {
			continue
		}
		if response, err := l.callMember(ctx, name, memberRequest{Status: true}); err == nil {
			others[name] = ownership.PeerStatus{ID: response.ID, HasRecord: response.HasRecord, Leader: response.Leader}
		}
	}
	servers, err := current.servers()
	own := ownership.OwnStatus{
		Name:            l.config.Name,
		ID:              current.id,
		HasRecord:       err == nil && len(servers) > 0,
		IsMember:        current.isMember(),
		HasLeader:       l.leaderName() != "",
		Durable:         l.config.Folder != "",
		LeaderlessPolls: l.leaderlessPolls,
	}
	return ownership.NextStep(own, slices.Collect(maps.Keys(l.config.Members)), others)
}

// take asks to be admitted, or founds a record. What fails is taken again at the next poll.
func (l *membershipLoop) take(ctx context.Context, current *instance, step ownership.Step) {
	switch step.Action {
	case ownership.Join:
		response, err := l.callMember(ctx, step.JoinVia, memberRequest{Name: l.config.Name, ID: current.id})
		if err == nil && !response.Accepted {
			l.log.Debug("join", "at", step.JoinVia, "reason", response.Why)
		}
	case ownership.Bootstrap:
		var servers []raft.Server
		for _, name := range slices.Sorted(maps.Keys(step.IDs)) {
			id := step.IDs[name]
			servers = append(servers, raft.Server{ID: raft.ServerID(id), Address: addressOf(name, id)})
		}
		if err := current.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err == nil {
			l.log.Info("founded", "members", len(servers))
		}
	}
}

// startOver drops what we have of the record, and comes as new.
func (l *membershipLoop) startOver(current *instance) error {
	l.log.Warn("record_restarted", "text", "all others have come as new; so do we")
	current.close()
	if err := l.openInstance(); err != nil {
		return err
	}
	l.events.SnapshotRestored(ownership.NewRecord())
	l.leaderlessPolls = 0
	l.cost.index = 0
	return nil
}

// reportCurrent tells the distribution that the record is led and that we have all of its configuration, if that is so.
func (l *membershipLoop) reportCurrent(current *instance) {
	if l.config.Distribution == nil {
		return
	}
	r := current.raft
	seen := progress{
		leads:     r.State() == raft.Leader,
		inContact: time.Since(r.LastContact()) < l.pace.heartbeat,
		applied:   r.AppliedIndex(),
		committed: r.CommitIndex(),
		last:      r.LastIndex(),
	}
	if l.currency.observe(seen) && !current.machine.configuration.empty() {
		l.config.Distribution.Current()
	}
}

// logCost tells what the record costs, once in a costInterval.
func (l *membershipLoop) logCost(current *instance) {
	elapsed := time.Since(l.cost.at)
	if elapsed < costInterval {
		return
	}
	now := costSample{at: time.Now(), bytes: l.transport.bytes.Load(), index: current.raft.AppliedIndex()}
	l.log.Info("record",
		"entries_per_s", perSecond(float64(now.index-l.cost.index), elapsed),
		"bytes_per_s", perSecond(float64(now.bytes-l.cost.bytes), elapsed),
		"snapshot_bytes", current.machine.snapshotBytes.Load())
	l.cost = now
}

// perSecond is a rate, rounded to a tenth.
func perSecond(count float64, elapsed time.Duration) float64 {
	return float64(int(count/elapsed.Seconds()*10+0.5)) / 10
}

// probeSilentMembers finds members that do not run, for the lease tracker: those of which nothing has arrived lately, and
// whose address refuses a connection. A connection that hangs shows nothing: the member may be cut off, or stand still.
func (n *Node) probeSilentMembers(ctx context.Context) {
	for _, name := range n.silentMembers() {
		at := n.clock()
		conn, err := n.transport.dial(ctx, name, connCalls)
		if err == nil {
			conn.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.leaderMutex.Lock()
			n.leases.MarkGone(name, at)
			n.leaderMutex.Unlock()
		}
	}
}

// silentMembers are the others of which nothing has arrived for two renewals.
func (n *Node) silentMembers() (silent []string) {
	machine := n.current().machine
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	now := n.clock()
	machine.withRecord(func(record *ownership.Record) {
		for name, incarnation := range record.Members {
			if name != n.config.Name && n.leases.SilentFor(incarnation, now, 2*n.config.Terms.RenewInterval) {
				silent = append(silent, name)
			}
		}
	})
	return silent
}

// servers are the members of the record by their IDs; none where we are part of no record.
func (i *instance) servers() ([]raft.Server, error) {
	future := i.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// isMember tells whether the record has us as a member.
func (i *instance) isMember() bool {
	servers, err := i.servers()
	return err == nil && slices.ContainsFunc(servers, func(server raft.Server) bool { return string(server.ID) == i.id })
}

// admit has a member take part under a new ID: it has forgotten its votes, or never had any. Its old ID is removed first.
func (n *Node) admit(name, id string) memberResponse {
	current := n.current()
	if current.raft.State() != raft.Leader {
		return memberResponse{Why: whyNotLeader}
	}
	servers, err := current.servers()
	if err != nil {
		return memberResponse{Why: err.Error()}
	}
	var ids []string
	for _, server := range servers {
		ids = append(ids, string(server.ID))
	}
	remove, admitted := ownership.Admit(ids, id, func(id string) string { return nameOf(raft.ServerID(id)) })
	for _, other := range remove {
		if err := current.raft.RemoveServer(raft.ServerID(other), 0, applyTimeout).Error(); err != nil {
			return memberResponse{Why: err.Error()}
		}
	}
	if admitted {
		return memberResponse{Accepted: true}
	}
	if err := current.raft.AddVoter(raft.ServerID(id), addressOf(name, id), 0, applyTimeout).Error(); err != nil {
		return memberResponse{Why: err.Error()}
	}
	n.log.Info("member_joined", "name", name, "id", id)
	return memberResponse{Accepted: true}
}
