package consensus

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// pollInterval is the time between two polls of this member's membership.
const pollInterval = 200 * time.Millisecond

// membershipLoop is the state of maintainMembership. No other goroutine uses it.
type membershipLoop struct {
	*Node
	// leaderlessPolls is the number of successive polls at which this member knew no leader, or was
	// not a member of the record.
	leaderlessPolls int
	freshness       freshness
	cost            costSample // load counters at the last log line of logCost
}

// maintainMembership makes this member part of the replicated record, and restores the membership
// if it is lost, until the context ends.
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

// poll checks this member's membership once. If poll returns an error, this member takes no further
// part in the replicated record.
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

// nextStep requests the status of all other members, and returns the step that this member has to
// take next in order to be part of a replicated record.
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

// perform asks another member for admission, or bootstraps a record. A step that fails is repeated
// at the next poll.
func (l *membershipLoop) perform(ctx context.Context, current *instance, step ownership.Step) {
	switch step.Action {
	case ownership.Join:
		response, err := l.callMember(ctx, step.JoinVia, memberRequest{Name: l.config.Name, ID: current.id})
		if err == nil && !response.Accepted {
			l.log.Debug("join", "at", step.JoinVia, "reason", response.Reason)
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

// startOver drops this member's copy of the replicated record, and opens an empty raft instance
// under a new ID.
func (l *membershipLoop) startOver(current *instance) error {
	l.log.Warn("record_restarted", "text", "all other members are reachable and belong to no record; "+
		"this member drops its record and starts under a new ID")
	current.close()
	if err := l.openInstance(); err != nil {
		return err
	}
	l.events.SnapshotRestored(ownership.NewRecord())
	l.leaderlessPolls = 0
	l.cost.index = 0
	return nil
}

// servers returns the members of the record with their IDs; the list is empty if this raft instance
// is part of no record.
func (i *instance) servers() ([]raft.Server, error) {
	future := i.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// isMember reports whether this raft instance's ID is among the members of the record.
func (i *instance) isMember() bool {
	servers, err := i.servers()
	return err == nil && slices.ContainsFunc(servers, func(server raft.Server) bool { return string(server.ID) == i.id })
}

// admit adds a member to the record under a new ID, because the member has lost its votes or never
// had any. Before that, admit removes the member's old IDs from the record.
func (n *Node) admit(name, id string) memberResponse {
	current := n.current()
	if current.raft.State() != raft.Leader {
		return memberResponse{Reason: reasonNotLeader}
	}
	servers, err := current.servers()
	if err != nil {
		return memberResponse{Reason: err.Error()}
	}
	var ids []string
	for _, server := range servers {
		ids = append(ids, string(server.ID))
	}
	oldIDs, alreadyMember := ownership.Admit(ids, id, func(id string) string { return memberName(raft.ServerID(id)) })
	for _, oldID := range oldIDs {
		if err := current.raft.RemoveServer(raft.ServerID(oldID), 0, applyTimeout).Error(); err != nil {
			return memberResponse{Reason: err.Error()}
		}
	}
	if alreadyMember {
		return memberResponse{Accepted: true}
	}
	if err := current.raft.AddVoter(raft.ServerID(id), addressOf(name, id), 0, applyTimeout).Error(); err != nil {
		return memberResponse{Reason: err.Error()}
	}
	n.log.Info("member_joined", "name", name, "id", id)
	return memberResponse{Accepted: true}
}
