package consensus

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// pollInterval is the time between two looks at our membership.
const pollInterval = 200 * time.Millisecond

// membershipLoop is the state of maintainMembership, which alone uses it.
type membershipLoop struct {
	*Node
	leaderlessPolls int // in a row
	freshness       freshness
	cost            costSample // as of the last line
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
			loop.freshness.reset()
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
	l.freshness.reset()
	l.leaderlessPolls++
	step := l.nextStep(ctx, current)
	if step.Action == ownership.StartOver {
		return l.startOver(current)
	}
	l.perform(ctx, current, step)
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

// perform asks to be admitted, or founds a record. What fails is taken again at the next poll.
func (l *membershipLoop) perform(ctx context.Context, current *instance, step ownership.Step) {
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
	remove, admitted := ownership.Admit(ids, id, func(id string) string { return memberName(raft.ServerID(id)) })
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
