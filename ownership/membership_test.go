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
		{"all members are new and reached: the first by name founds a record", OwnStatus{Name: "a"},
			newPeers("b", "c"), Bootstrap, ""},
		{"all members are new and reached: the second waits", OwnStatus{Name: "b"}, newPeers("a", "c"), Wait, ""},
		{"a member is not reached: the first waits", OwnStatus{Name: "a"}, newPeers("b"), Wait, ""},
		{"a peer is part of a record: it is asked, and no record is founded", OwnStatus{Name: "a"},
			withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Join, "c"},
		{"a peer knows a leader: the leader is asked", OwnStatus{Name: "a"},
			withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true, Leader: "b"}), Join, "b"},
		{"the known leader has the own name, from an earlier process: the peer is asked", OwnStatus{Name: "a"},
			withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true, Leader: "a"}), Join, "c"},
		{"a member of a record with a leader waits",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, HasLeader: true}, newPeers("b", "c"), Wait, ""},
		{"members of a record without a leader wait for an election",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99},
			withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Wait, ""},
		{"a member that was removed for another ID of its name asks to be admitted",
			OwnStatus{Name: "a", HasRecord: true}, withPeer(newPeers("b"), "c", PeerStatus{HasRecord: true}), Join,
			"c"},
		{"all others are new, for fewer polls than maxLeaderlessPolls",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls - 1},
			newPeers("b", "c"), Wait, ""},
		{"all others are new, for maxLeaderlessPolls",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: maxLeaderlessPolls},
			newPeers("b", "c"), StartOver, ""},
		{"all others are new, but the own part of the record is on a disk",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, Durable: true, LeaderlessPolls: 99},
			newPeers("b", "c"), Wait, ""},
		{"all peers that were reached are new, but one was not reached and may have its votes",
			OwnStatus{Name: "a", HasRecord: true, IsMember: true, LeaderlessPolls: 99}, newPeers("b"), Wait, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			step := NextStep(c.own, names, c.others)
			if step.Action != c.action || step.JoinVia != c.joinVia {
				t.Errorf("got %+v, want action %d via %q", step, c.action, c.joinVia)
			}
			if foundingMembers := slices.Sorted(maps.Keys(step.IDs)); step.Action == Bootstrap &&
				!slices.Equal(foundingMembers, names) {
				t.Errorf("founded with %v, want all of %v", step.IDs, names)
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
			t.Errorf("IDs %v: removes %v, admitted %v, want %v, %v", c.ids, remove, admitted, c.remove, c.admitted)
		}
	}
}
