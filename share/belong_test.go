package share

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

func TestBelong(t *testing.T) {
	names := []string{"a", "b", "c"}
	anew := func(names ...string) map[string]Met {
		of := map[string]Met{}
		for _, name := range names {
			of[name] = Met{ID: name + "/1"}
		}
		return of
	}
	with := func(of map[string]Met, name string, m Met) map[string]Met {
		of[name] = m
		return of
	}
	for _, story := range []struct {
		name   string
		own    Own
		others map[string]Met
		do     Act
		ask    string
	}{
		{"all are new and there: the first founds", Own{Name: "a"}, anew("b", "c"), Found, ""},
		{"... and nobody else", Own{Name: "b"}, anew("a", "c"), Wait, ""},
		{"one is not there: nobody founds", Own{Name: "a"}, anew("b"), Wait, ""},
		{"one has a record: it is asked, not founded anew", Own{Name: "a"}, with(anew("b"), "c", Met{Part: true}), Join, "c"},
		{"its leader is asked before it", Own{Name: "a"}, with(anew("b"), "c", Met{Part: true, Leader: "b"}), Join, "b"},
		{"a leader that would be us, in an incarnation before, cannot be asked", Own{Name: "a"}, with(anew("b"), "c", Met{Part: true, Leader: "a"}), Join, "c"},
		{"we are in, and it is led", Own{Name: "a", Part: true, Within: true, Led: true}, anew("b", "c"), Wait, ""},
		{"we are in, and others are as well: they elect", Own{Name: "a", Part: true, Within: true, Leaderless: 99},
			with(anew("b"), "c", Met{Part: true}), Wait, ""},
		{"we were put out for another incarnation of ours: we ask to be let in", Own{Name: "a", Part: true}, with(anew("b"), "c", Met{Part: true}), Join, "c"},
		{"all others are new, for a moment", Own{Name: "a", Part: true, Within: true, Leaderless: forsakenAfter - 1}, anew("b", "c"), Wait, ""},
		{"all others are new, for good", Own{Name: "a", Part: true, Within: true, Leaderless: forsakenAfter}, anew("b", "c"), Forget, ""},
		{"... but ours is on a disk", Own{Name: "a", Part: true, Within: true, Durable: true, Leaderless: 99}, anew("b", "c"), Wait, ""},
		{"... but one cannot be reached, and may remember", Own{Name: "a", Part: true, Within: true, Leaderless: 99}, anew("b"), Wait, ""},
	} {
		t.Run(story.name, func(t *testing.T) {
			step := Belong(story.own, names, story.others)
			if step.Do != story.do || step.Ask != story.ask {
				t.Errorf("got %+v", step)
			}
			if all := slices.Sorted(maps.Keys(step.IDs)); step.Do == Found && !slices.Equal(all, names) {
				t.Errorf("founded with %v", step.IDs)
			}
		})
	}
}

func TestAdmit(t *testing.T) {
	nameOf := func(id string) string { name, _, _ := strings.Cut(id, "/"); return name }
	for _, story := range []struct {
		ids   []string
		leave []string
		in    bool
	}{
		{[]string{"a/1", "b/1", "c/1"}, []string{"c/1"}, false},
		{[]string{"a/1", "b/1", "c/2"}, nil, true},
		{[]string{"a/1", "c/2", "c/1"}, []string{"c/1"}, true},
		{[]string{"a/1", "b/1"}, nil, false},
		{[]string{"cc/1"}, nil, false},
	} {
		if leave, in := Admit(story.ids, "c/2", nameOf); !slices.Equal(leave, story.leave) || in != story.in {
			t.Errorf("%v: %v leave, in %v", story.ids, leave, in)
		}
	}
}
