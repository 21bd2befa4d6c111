package ownership

import (
	"maps"
	"slices"
)

// What follows is how the members of a record are chosen; package consensus alone calls it. It stands here to be tested
// without a network.

// PeerStatus is what another member has said of itself when it was asked.
type PeerStatus struct {
	ID        string // its name, with what was drawn for as long as it remembers its votes
	HasRecord bool   // it is part of a record
	Leader    string // the name of the leader that it knows; empty for none
}

// OwnStatus is what a member knows of itself.
type OwnStatus struct {
	Name            string // among the members
	ID              string // as in PeerStatus
	HasRecord       bool   // it is part of a record, as a member or not
	IsMember        bool   // the record has it as a member, under this ID
	HasLeader       bool   // the record has a leader
	Durable         bool   // its part of the record outlasts the process
	LeaderlessPolls int    // polls in a row without a leader
}

// Step is what a member does next to belong to a record.
type Step struct {
	Action  Action            // what to do
	JoinVia string            // the name of the member to ask, for Join
	IDs     map[string]string // of all members by name, for Bootstrap
}

// Action is a kind of Step.
type Action uint8

// Kinds of steps.
const (
	Wait      Action = iota // do nothing for now
	Join                    // ask a member to be admitted under our ID
	Bootstrap               // found a record of all members
	StartOver               // drop what we have, and come as new
)

// maxLeaderlessPolls is how many polls without a leader show that none will be elected: an election takes two or three.
const maxLeaderlessPolls = 25

// NextStep gives the next step of a member, by what those others said that could be reached. The package's comment says why
// it is safe.
func NextStep(own OwnStatus, names []string, others map[string]PeerStatus) Step {
	if own.HasLeader && own.IsMember {
		return Step{Action: Wait}
	}
	via := memberWithRecord(own, others)
	allReached := len(others) == len(names)-1
	switch {
	case via != "" && !own.IsMember:
		return Step{Action: Join, JoinVia: via}
	case via != "" || !allReached:
		return Step{Action: Wait}
	case own.HasRecord && !own.Durable && own.LeaderlessPolls >= maxLeaderlessPolls:
		return Step{Action: StartOver}
	case !own.HasRecord && own.Name == slices.Min(names):
		return Step{Action: Bootstrap, IDs: allIDs(own, others)}
	}
	return Step{Action: Wait}
}

// memberWithRecord is whom to ask to be admitted: the leader that others know, or else one that is part of a record; empty
// if none is. A leader of our own name was an earlier process of ours.
func memberWithRecord(own OwnStatus, others map[string]PeerStatus) (via string) {
	for _, name := range slices.Sorted(maps.Keys(others)) {
		peer := others[name]
		if !peer.HasRecord || name == own.Name {
			continue
		}
		if peer.Leader != "" && peer.Leader != own.Name {
			via = peer.Leader
		} else if via == "" {
			via = name
		}
	}
	return via
}

func allIDs(own OwnStatus, others map[string]PeerStatus) map[string]string {
	ids := map[string]string{own.Name: own.ID}
	for name, peer := range others {
		ids[name] = peer.ID
	}
	return ids
}

// Admit tells which of a record's IDs have to be removed, in their order, before another is admitted under a name, and
// whether that one is a member already. An ID that has forgotten its votes must not count beside the new one.
func Admit(ids []string, id string, nameOf func(id string) string) (remove []string, admitted bool) {
	for _, other := range ids {
		switch {
		case other == id:
			admitted = true
		case nameOf(other) == nameOf(id):
			remove = append(remove, other)
		}
	}
	slices.Sort(remove)
	return remove, admitted
}
