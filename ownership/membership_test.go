package ownership

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

func TestNextStepToBelongToARecord(t *testing.T) {
	names := []string{"a", "b", "c"}
	anew := func(names ...string) map[string]PeerStatus {
		of := map[string]PeerStatus{}
		for _, name := range names {
			of[name] = PeerStatus{ID: name + "/1"}
		}
		return of
	}
	with := func(of map[string]PeerStatus, name string, m PeerStatus) map[string]PeerStatus {
		of[name] = m
		return of
	}
	for _, c := range []struct {
		name   string
		own    OwnStatus
		others map[string]PeerStatus
		action Action
		ask    string
	}{
		{"all are new and there: the first founds", OwnStatus{Name: "a"}, anew("b", "c"), Bootstrap, ""},
		{"... and nobody else", OwnStatus{Name: "b"}, anew("a", "c"), Wait, ""},
		{"one is not there: nobody founds", OwnStatus{Name: "a"}, anew("b"), Wait, ""},
		{"one has a record: it is asked, not founded anew", OwnStatus{Name: "a"}, with(anew("b"), "c", PeerStatus{HasRecord: true}), Join, "c"},
		{"its leader is asked before it", OwnStatus{Name: "a"}, with(anew("b"), "c", PeerStatus{HasRecord: true, Leader: "b"}), Join, "b"},
		{"a leader that would be us, in an incarnation before, cannot be asked", OwnStatus{Name: "a"}, with(anew("b"), "c", PeerStatus{HasRecord: true, Leader: "a"}), Join, "c"},
		{"we are in, and it is led", OwnStatus{Name: "a", HasRecord: true, IsMember: true, HasLeader: true}, anew("b", "c"), Wait, ""},
		{"we are in, and others are as well: they elect", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99},
			with(anew("b"), "c", PeerStatus{HasRecord: true}), Wait, ""},
		{"we were put out for another incarnation of ours: we ask to be let in", OwnStatus{Name: "a", HasRecord: true}, with(anew("b"), "c", PeerStatus{HasRecord: true}), Join, "c"},
		{"all others are new, for a moment", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls - 1}, anew("b", "c"), Wait, ""},
		{"all others are new, for good", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls}, anew("b", "c"), StartOver, ""},
		{"... but ours is on a disk", OwnStatus{Name: "a", HasRecord: true, IsMember: true, Durable: true, LeaderlessPolls: 99}, anew("b", "c"), Wait, ""},
		{"... but one cannot be reached, and may remember", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99}, anew("b"), Wait, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			step := NextStep(c.own, names, c.others)
			if step.Action != c.action || step.JoinVia != c.ask {
				t.Errorf("got %+v", step)
			}
			if all := slices.Sorted(maps.Keys(step.IDs)); step.Action == Bootstrap && !slices.Equal(all, names) {
				t.Errorf("founded with %v", step.IDs)
			}
		})
	}
}

func TestAdmitRemovesTheMembersOldIDs(t *testing.T) {
	nameOf := func(id string) string { name, _, _ := strings.Cut(id, "/"); return name }
	for _, c := range []struct {
		ids      []string
		remove   []string
		admitted bool
	}{
		{[]string{"a/1", "b/1", "c/1"}, []string{"c/1"}, false},
		{[]string{"a/1", "b/1", "c/2"}, nil, true},
		{[]string{"a/1", "c/2", "c/1"}, []string{"c/1"}, true},
		{[]string{"a/1", "b/1"}, nil, false},
		{[]string{"cc/1"}, nil, false},
	} {
		if remove, admitted := Admit(c.ids, "c/2", nameOf); !slices.Equal(remove, c.remove) || admitted != c.admitted {
			t.Errorf("%v: removes %v, admitted %v", c.ids, remove, admitted)
		}
	}
}
