package distribution

import (
	"fmt"
	"slices"
)

// startingState describes one case of the model check: the members, the events that are executed
// first, and the events that are then executed in every order.
type startingState struct {
	name   string
	voters int
	relays int
	setup  string // events that are executed once, before the events whose order varies
	events string // events that are executed in every order, by kind and member index, as in "a0 d2"
	depth  int
}

// begin starts the members of the model: voters, relays below them, and one subscriber of scope
// "a".
func (s startingState) begin(plant func(*Node)) *cluster {
	c := newCluster()
	limits := modelLimits()
	var voters, parents []string
	for i := range s.voters {
		voters = append(voters, fmt.Sprint("v", i))
		c.add(voter(voters[i], limits))
	}
	for i := range s.relays {
		parents = append(parents, fmt.Sprint("r", i))
		c.add(subscriber(parents[i], AllScopes(), limits, voters...))
	}
	if s.relays == 0 {
		parents = voters
	}
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, parents...))
	c.accept(modelEntries(1)...)
	for _, m := range c.members[:s.voters] {
		c.follow(m, 1)
	}
	for range 3 {
		c.now += modelStep
		c.modelTick()
		c.settle()
	}
	plant(leaf.node)
	return c
}

// playOnCopy executes an event on a copy of a state, checks every node after it, and reports
// whether the event was possible.
func (c *cluster) playOnCopy(e modelEvent, plant func(*Node)) (next *cluster, possible bool) {
	next = c.clone()
	possible = next.play(e)
	plant(next.members[len(next.members)-1].node)
	next.verify()
	return next, possible
}

func (c *cluster) verify() {
	for _, m := range c.members {
		m.verify()
	}
}

// convergeSteps is the number of steps after which every node has the whole record once all
// failures have ended.
const convergeSteps = 14

// converge ends all failures and checks that every node gets the whole record.
func (c *cluster) converge() {
	clear(c.cuts)
	for range convergeSteps {
		for _, m := range c.members {
			for c.followOne(m) {
			}
		}
		c.now += modelStep
		c.modelTick()
		c.settle()
		for _, m := range c.members {
			m.checkVersionOrder()
		}
	}
	c.verify()
	for _, m := range c.members {
		if want := (Version{c.epoch, uint64(len(c.record))}); m.node.Version() != want {
			c.reportViolation("%s stays at version %v, the record is at %v", m.config.Name, m.node.Version(), want)
		}
	}
}

// reachedState is a state of the model and the events that led to it.
type reachedState struct {
	cluster *cluster
	path    []modelEvent
}

// explore executes the events in every order, up to depth events. It returns the shortest sequence
// of events that violates a rule, with the violation, or "" if no order violates a rule. It also
// returns the number of distinct states.
func (s startingState) explore(depth int, plant func(*Node)) (violation string, states int) {
	start := reachedState{cluster: s.begin(plant)}
	for _, e := range parseEvents(s.setup) {
		start.path = append(start.path, e)
		start.cluster, _ = start.cluster.playOnCopy(e, plant)
		if start.cluster.violation != "" {
			return fmt.Sprint(start.path, ": ", start.cluster.violation), 0
		}
	}
	events := parseEvents(s.events)
	seen, level := map[uint64]bool{}, []reachedState{start}
	for range depth {
		var next []reachedState
		for _, from := range level {
			for _, e := range events {
				c, possible := from.cluster.playOnCopy(e, plant)
				path := append(slices.Clone(from.path), e)
				if c.violation != "" {
					return fmt.Sprint(path, ": ", c.violation), len(seen)
				}
				if !possible {
					continue
				}
				key := c.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				next = append(next, reachedState{c, path})
				end := c.clone()
				end.converge()
				if end.violation != "" {
					return fmt.Sprint(path, " and then no more failures: ", end.violation), len(seen)
				}
			}
		}
		level = next
	}
	return "", len(seen)
}
