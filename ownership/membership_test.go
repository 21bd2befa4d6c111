package ownership

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

func TestNextStep(t *testing.T) {
	names := []string{"a", "b", "c"}
	newPeers := func(names ...string) map[string]PeerStatus {
		peers := map[string]PeerStatus{}
		for _, name := range names {
			peers[name] = PeerStatus{ID: name + "/1"}
		}
		return peers
	}
	withPeer := func(peers map[string]PeerStatus, name string, status PeerStatus) map[string]PeerStatus {
		peers[name] = status
		return peers
	}
	for _, c := range []struct {
		name    string
		own     OwnStatus
		others  map[string]PeerStatus
		action  Action
		joinVia string
	}{
		{"all are new and there: the first founds", OwnStatus{Name: "a"}, newPeers("b", "c"), Bootstrap, ""},
		{"... and nobody else", OwnStatus{Name: "b"}, newPeers("a", "c"), Wait, ""},
		{"one is not there: nobody founds", OwnStatus{Name: "a"}, newPeers("b"), Wait, ""},
		{"one has a record: it is asked, not founded anew", OwnStatus{Name: "a"}, withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Join, "c"},
		{"its leader is asked before it", OwnStatus{Name: "a"}, withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true, Leader: "b"}), Join, "b"},
		{"a leader that would be us, in an incarnation before, cannot be asked", OwnStatus{Name: "a"}, withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true, Leader: "a"}), Join, "c"},
		{"we are in, and it is led", OwnStatus{Name: "a", HasRecord: true, IsMember: true, HasLeader: true}, newPeers("b", "c"), Wait, ""},
		{"we are in, and others are as well: they elect", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99},
			withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Wait, ""},
		{"we were put out for another incarnation of ours: we ask to be let in", OwnStatus{Name: "a", HasRecord: true}, withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Join, "c"},
		{"all others are new, for a moment", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls - 1}, newPeers("b", "c"), Wait, ""},
		{"all others are new, for good", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls}, newPeers("b", "c"), StartOver, ""},
		{"... but ours is on a disk", OwnStatus{Name: "a", HasRecord: true, IsMember: true, Durable: true, LeaderlessPolls: 99}, newPeers("b", "c"), Wait, ""},
		{"... but one cannot be reached, and may remember", OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99}, newPeers("b"), Wait, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			step := NextStep(c.own, names, c.others)
			if step.Action != c.action || step.JoinVia != c.joinVia {
				t.Errorf("got %+v", step)
			}
			if foundingMembers := slices.Sorted(maps.Keys(step.IDs)); step.Action == Bootstrap && !slices.Equal(foundingMembers, names) {
				t.Errorf("founded with %v", step.IDs)
			}
		})
	}
}

func TestAdmitRemovesOldIDsOfMember(t *testing.T) {
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
