package ownership

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// step is an event at a member.
type step struct {
	kind   eventKind
	member int
}

// parseSteps parses steps from words such as x0 t0 d1: the letter of an eventKind and the index of
// the member.
func parseSteps(text string) (steps []step) {
	for _, word := range strings.Fields(text) {
		steps = append(steps, step{eventKind(word[0]), int(word[1] - '0')})
	}
	return steps
}

// explore plays every order of events up to a depth, after the events of a prefix, and calls
// injectFault at the start and after each event. It returns the shortest sequence that leads to a
// violation, with the violation, or "" if there is none, and the number of distinct states.
func explore(prefix string, depth int, injectFault func(*modelState)) (violation string, states int) {
	var steps []step
	for _, kind := range "dockqszlxh" {
		for i := range modelTerms.Members {
			steps = append(steps, step{eventKind(kind), i})
		}
	}
	steps = append(steps, step{eventTick, 0})
	run := func(sequence []step) (*modelState, bool) {
		state := newModelState()
		injectFault(state)
		for _, s := range sequence {
			if !state.playEvent(s.kind, state.members[s.member]) {
				return state, false
			}
			injectFault(state)
		}
		return state, true
	}
	seen, frontier := map[uint64]bool{}, [][]step{parseSteps(prefix)}
	for range depth {
		var next [][]step
		for _, sequence := range frontier {
			for _, s := range steps {
				extended := append(slices.Clone(sequence), s)
				state, possible := run(extended)
				if !possible {
					continue
				}
				if state.violation != "" {
					var words []string
					for _, s := range extended {
						words = append(words, fmt.Sprintf("%c%d", s.kind, s.member))
					}
					return strings.Join(words, " ") + ": " + state.violation, len(seen)
				}
				if key := state.hash(); !seen[key] {
					seen[key] = true
					next = append(next, extended)
				}
			}
		}
		frontier = next
	}
	return "", len(seen)
}

// TestEveryOrderOfEventsKeepsTheInvariants guards against rare orders of events after which a proxy
// holds other lines than its grant states (Grant.Base). The second half injects faults and checks
// that explore detects them. How many messages a proxy gets does not depend on the record: the
// tests of the message pace in package balancer, and the model of sharing controllers in package
// controller, check that.
func TestEveryOrderOfEventsKeepsTheInvariants(t *testing.T) {
	depth := 4
	if parsed, err := strconv.Atoi(os.Getenv("SHARE_DEPTH")); err == nil {
		depth = parsed // the test takes a minute with a depth of 6
	}
	noFault := func(*modelState) {}
	for _, c := range []struct {
		name, prefix string
		members      int
		depth        int
	}{
		{"two members", "", 2, depth},
		{"two members, one about to lose the quorum", "x0 t0 t0", 2, depth - 1},
		{"two members, a proxy that moves back and forth", "o0 d1 o1 d0 o0", 2, depth - 1},
		{"three members", "", 3, depth - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			modelTerms.Members = c.members
			violation, states := explore(c.prefix, c.depth, noFault)
			if violation != "" {
				t.Errorf("violation after the events %s", violation)
			}
			t.Logf("depth %d, %d states", c.depth, states)
		})
	}
	modelTerms.Members = 2
	for _, fault := range []struct {
		name, prefix, wantViolation string
		depth                       int
		inject                      func(*modelState)
	}{
		{"a lease tracker that reports every member as fully recorded", "x0 t0 t0",
			"the proxy holds backend a with weight 1, but its base gives 0", 3,
			func(state *modelState) { state.leases.lease = 1 << 40 }},
		{"a closed incarnation that stays fully recorded without end", "q0 z0 t0 t0 t0", "but its base gives", 3,
			func(state *modelState) {
				for id, incarnation := range state.record.Incarnations {
					if incarnation.Closed {
						state.leases.arrivals[id] = entryArrivals{arrivedAt: state.now, earliestLeaseStart: state.now}
					}
				}
			}},
		{"table changes that are released before they are committed", "l0 t0",
			"the proxy holds backend a with weight 1, but its base gives 0", 3,
			func(state *modelState) { state.members[0].ReleaseUpTo(1 << 60) }},
	} {
		t.Run("detects "+fault.name, func(t *testing.T) {
			if violation, _ := explore(fault.prefix, fault.depth, fault.inject); !strings.Contains(violation,
				fault.wantViolation) {
				t.Errorf("found %q, want a violation with %q", violation, fault.wantViolation)
			}
		})
	}
}
