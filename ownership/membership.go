package ownership

import (
	"maps"
	"slices"
)

// This file decides which members form a record. Only package consensus calls it; it is part of
// this package so that it can be tested without a network.

// PeerStatus is the answer of another member to a status request.
type PeerStatus struct {
	// ID is the peer's name and a random part, which stays the same as long as the peer's votes are
	// stored.
	ID        string
	HasRecord bool   // the peer is part of a record
	Leader    string // name of the leader that the peer knows; empty if it knows none
}

// OwnStatus is the state of the member for which NextStep determines the next step.
type OwnStatus struct {
	Name            string // the member's name
	ID              string // this member's ID, of the same form as PeerStatus.ID
	HasRecord       bool   // the member stores a part of a record, even if the record does not list its ID
	IsMember        bool   // the record lists this ID as a member
	HasLeader       bool   // the record has a leader
	Durable         bool   // the member's part of the record survives a restart of the process
	LeaderlessPolls int    // number of consecutive polls at which the record had no leader
}

// Step is the next action of a member towards being part of a record.
type Step struct {
	Action  Action            // kind of this step
	JoinVia string            // if Action is Join: name of the member to ask for admission
	IDs     map[string]string // if Action is Bootstrap: IDs of all members, by name
}

// Action is a kind of Step.
type Action uint8

// Kinds of steps.
const (
	Wait      Action = iota // do nothing for now
	Join                    // ask another member for admission under this member's ID
	Bootstrap               // start a new record with all members
	StartOver               // drop this member's part of the record, and return as a new member
)

// maxLeaderlessPolls is the number of consecutive polls without a leader after which no election is
// expected to succeed: an election takes two or three polls.
const maxLeaderlessPolls = 25

// NextStep returns the next step of a member, given its own status, the names of all members, and
// the status of the other members that could be reached. The package comment explains why this is
// safe.
func NextStep(own OwnStatus, names []string, others map[string]PeerStatus) Step {
	if own.HasLeader && own.IsMember {
		return Step{Action: Wait}
	}
	joinVia := memberWithRecord(own, others)
	allReached := len(others) == len(names)-1
	switch {
	case joinVia != "" && !own.IsMember:
		return Step{Action: Join, JoinVia: joinVia}
	case joinVia != "" || !allReached:
		return Step{Action: Wait}
	case own.HasRecord && !own.Durable && own.LeaderlessPolls >= maxLeaderlessPolls:
		return Step{Action: StartOver}
	case !own.HasRecord && own.Name == slices.Min(names):
		return Step{Action: Bootstrap, IDs: allIDs(own, others)}
	}
	return Step{Action: Wait}
}

// memberWithRecord returns the name of the member to ask for admission: the leader that other
// members know, or else a member that is part of a record; empty if there is neither. A leader with
// this member's name was an earlier process of this member.
func memberWithRecord(own OwnStatus, others map[string]PeerStatus) (joinVia string) {
	for _, name := range slices.Sorted(maps.Keys(others)) {
		peer := others[name]
		if !peer.HasRecord || name == own.Name {
			continue
		}
		if peer.Leader != "" && peer.Leader != own.Name {
			joinVia = peer.Leader
		} else if joinVia == "" {
			joinVia = name
		}
	}
	return joinVia
}

func allIDs(own OwnStatus, others map[string]PeerStatus) map[string]string {
	ids := map[string]string{own.Name: own.ID}
	for name, peer := range others {
		ids[name] = peer.ID
	}
	return ids
}

// Admit returns the IDs of a record, sorted, that have to be removed before another ID is admitted
// under the same name, and reports whether that ID is a member already. An ID whose votes are lost
// must not count as a member together with the new ID.
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
