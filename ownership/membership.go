package ownership

import (
	"maps"
	"slices"
)

// PeerStatus is what a member has said of itself when it was asked.
type PeerStatus struct {
	ID        string // its name with what was drawn for as long as it remembers its votes
	HasRecord bool   // it is part of a record
	Leader    string // the leader's name, if it knows one
}

// OwnStatus is what we know of ourselves.
type OwnStatus struct {
	Name, ID        string
	HasRecord       bool // we have a record, with us in it or not
	IsMember        bool // it has us as a member, by this id
	HasLeader       bool // it has a leader
	Durable         bool // our part of it outlasts the process
	LeaderlessPolls int  // looks in a row without a leader
}

// Step is what a member does next to belong to a record.
type Step struct {
	Action  Action
	JoinVia string            // the name of the one to ask, for Join
	IDs     map[string]string // of all by name, for Bootstrap
}

// Action is a kind of step.
type Action uint8

const (
	Wait      Action = iota
	Join             // ask to be taken in under our id
	Bootstrap        // begin a record of all
	StartOver        // come as new
)

// maxLeaderlessPolls is how many looks without a leader show that none is on its way: an election takes two or three.
const maxLeaderlessPolls = 25

// NextStep settles the next step of a member, by what the others said that could be reached.
//
// A record is founded by the first by name alone, and only if every member is there and none is part of one: otherwise
// two could stand side by side, as after a split in which one side has forgotten. A member that has lost its votes
// comes under another id and asks to be let in, whoever it was. Where all others have come as new nobody is left who
// could elect a leader with us, and what only we remember can never stand again, so we come as new too; what is on a
// disk is not given up by ourselves.
func NextStep(own OwnStatus, names []string, others map[string]PeerStatus) Step {
	if own.HasLeader && own.IsMember {
		return Step{}
	}
	ask := ""
	for _, name := range slices.Sorted(maps.Keys(others)) {
		peer := others[name]
		switch {
		case !peer.HasRecord || name == own.Name:
		case peer.Leader != "" && peer.Leader != own.Name:
			ask = peer.Leader
		case ask == "":
			ask = name
		}
	}
	all := len(others) == len(names)-1
	switch {
	case ask != "" && !own.IsMember:
		return Step{Action: Join, JoinVia: ask}
	case ask != "" || !all:
		return Step{}
	case own.HasRecord && !own.Durable && own.LeaderlessPolls >= maxLeaderlessPolls:
		return Step{Action: StartOver}
	case !own.HasRecord && own.Name == slices.Min(names):
		ids := map[string]string{own.Name: own.ID}
		for name, peer := range others {
			ids[name] = peer.ID
		}
		return Step{Action: Bootstrap, IDs: ids}
	}
	return Step{}
}

// Admit tells which ids of a record's members go, in their order, before another is taken in under a name; it is in
// already if itself says so. An id that has forgotten its votes must not be counted on beside the new one.
func Admit(ids []string, id string, nameOf func(id string) string) (leave []string, in bool) {
	for _, other := range ids {
		switch {
		case other == id:
			in = true
		case nameOf(other) == nameOf(id):
			leave = append(leave, other)
		}
	}
	slices.Sort(leave)
	return leave, in
}
