package share

import (
	"maps"
	"slices"
)

// Met is what a member has said of itself when it was asked.
type Met struct {
	ID     string // its name with what was drawn for as long as it remembers its votes
	Part   bool   // it is part of a record
	Leader string // the leader's name, if it knows one
}

// Own is what we know of ourselves.
type Own struct {
	Name, ID   string
	Part       bool // we have a record, with us in it or not
	Within     bool // it has us as a member, by this id
	Led        bool // it has a leader
	Durable    bool // our part of it outlasts the process
	Leaderless int  // looks in a row without a leader
}

// Step is what a member does next to belong to a record.
type Step struct {
	Do  Act
	Ask string            // the name of the one to ask, for Join
	IDs map[string]string // of all by name, for Found
}

// Act is a kind of step.
type Act uint8

const (
	Wait   Act = iota
	Join       // ask to be taken in under our id
	Found      // begin a record of all
	Forget     // come as new
)

// forsakenAfter is how many looks without a leader show that none is on its way: an election takes two or three.
const forsakenAfter = 25

// Belong settles the next step of a member, by what the others said that could be reached.
//
// A record is founded by the first by name alone, and only if every member is there and none is part of one: otherwise
// two could stand side by side, as after a split in which one side has forgotten. A member that has lost its votes comes
// under another id and asks to be let in, whoever it was. Where all others have come as new nobody is left who could
// elect a leader with us, and what only we remember can never stand again, so we come as new too; what is on a disk is
// not given up by ourselves.
func Belong(own Own, names []string, others map[string]Met) Step {
	if own.Led && own.Within {
		return Step{}
	}
	ask := ""
	for _, name := range slices.Sorted(maps.Keys(others)) {
		met := others[name]
		switch {
		case !met.Part || name == own.Name:
		case met.Leader != "" && met.Leader != own.Name:
			ask = met.Leader
		case ask == "":
			ask = name
		}
	}
	all := len(others) == len(names)-1
	switch {
	case ask != "" && !own.Within:
		return Step{Do: Join, Ask: ask}
	case ask != "" || !all:
		return Step{}
	case own.Part && !own.Durable && own.Leaderless >= forsakenAfter:
		return Step{Do: Forget}
	case !own.Part && own.Name == slices.Min(names):
		ids := map[string]string{own.Name: own.ID}
		for name, met := range others {
			ids[name] = met.ID
		}
		return Step{Do: Found, IDs: ids}
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
