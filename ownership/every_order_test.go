package ownership

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// step is one event: what happens, and to which member.
type step struct {
	kind eventKind
	who  int
}

// path reads steps from words like x0 t0 d1.
func path(words string) (steps []step) {
	for _, word := range strings.Fields(words) {
		steps = append(steps, step{eventKind(word[0]), int(word[1] - '0')})
	}
	return steps
}

// explore plays every order of events up to a depth, after those given first. It gives the shortest breach, or "" if
// there is none, and how many states there are.
func explore(first string, depth int, plant func(*world)) (breach string, states int) {
	var steps []step
	for _, kind := range "dockqszlxhf" {
		for i := range modelTerms.Members {
			steps = append(steps, step{eventKind(kind), i})
		}
	}
	steps = append(steps, step{eventTick, 0})
	play := func(path []step) (*world, bool) {
		w := begin()
		plant(w)
		for _, s := range path {
			if !w.event(s.kind, w.members[s.who]) {
				return w, false
			}
			plant(w)
		}
		return w, true
	}
	seen, level := map[uint64]bool{}, [][]step{path(first)}
	for range depth {
		var next [][]step
		for _, path := range level {
			for _, s := range steps {
				further := append(slices.Clone(path), s)
				w, ok := play(further)
				if !ok {
					continue
				}
				if w.broken != "" {
					var words []string
					for _, s := range further {
						words = append(words, fmt.Sprintf("%c%d", s.kind, s.who))
					}
					return strings.Join(words, " ") + ": " + w.broken, len(seen)
				}
				if key := w.key(); !seen[key] {
					seen[key] = true
					next = append(next, further)
				}
			}
		}
		level = next
	}
	return "", len(seen)
}

func TestEveryOrderOfEventsKeepsTheRules(t *testing.T) {
	depth := 4
	if given, err := strconv.Atoi(os.Getenv("SHARE_DEPTH")); err == nil {
		depth = given // 6 takes a minute
	}
	sound := func(*world) {}
	for _, c := range []struct {
		name, first string
		members     int
		depth       int
	}{
		{"two members", "", 2, depth},
		{"two members, one of them about to go off the record", "x0 t0 t0", 2, depth - 1},
		{"two members, a proxy that moves back and forth", "f0 d1 f1", 2, depth - 1},
		{"three members", "", 3, depth - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			modelTerms.Members, modelTerms.MaxMessages = c.members, 8*c.members
			breach, states := explore(c.first, c.depth, sound)
			if breach != "" {
				t.Errorf("after %s", breach)
			}
			t.Logf("depth %d, %d states", c.depth, states)
		})
	}
	modelTerms.Members, modelTerms.MaxMessages = 2, 16
	for _, fault := range []struct {
		name, first, finds string
		depth              int
		plant              func(*world)
	}{
		{"a lease tracker that vouches for everybody", "x0 t0 t0", "the proxy has a 1, the base says 0", 3,
			func(w *world) { w.leases.lease = 1 << 40 }},
		{"a record that forgets who had a proxy before", "f0 d1 f1 d0 f0 d1 f1 d0 f0", "17 messages within the span", 3, func(w *world) {
			for _, record := range []*Record{w.record, w.members[0].coordinator.record, w.members[1].coordinator.record} {
				h := record.Proxies[0]
				h.Moves = nil
				record.Proxies[0] = h
			}
			for _, p := range w.members {
				clear(p.coordinator.grantTimes)
				p.coordinator.started = -modelTerms.MessageWindow
			}
		}},
		{"a closed incarnation that is vouched for for ever", "q0 z0 t0 t0 t0", "the base says", 3,
			func(w *world) {
				for id, incarnation := range w.record.Incarnations {
					if incarnation.Closed {
						w.leases.arrivals[id] = entryArrivals{arrivedAt: w.now, leaseFrom: w.now}
					}
				}
			}},
		{"orders that leave before they stand on the record", "l0 t0", "the proxy has a 1, the base says 0", 3,
			func(w *world) { w.members[0].ReleaseUpTo(1 << 60) }},
	} {
		t.Run("it finds "+fault.name, func(t *testing.T) {
			if breach, _ := explore(fault.first, fault.depth, fault.plant); !strings.Contains(breach, fault.finds) {
				t.Errorf("found %q", breach)
			}
		})
	}
}
