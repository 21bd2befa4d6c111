package distribution

import (
	"fmt"
	"slices"
)

// startingState is a start of the model: who there is, and what comes before the orders that are played.
type startingState struct {
	name   string
	voters int
	relays int
	setup  string // before every order
	kinds  string // the events, by kind and member as in "a0 d2"
	depth  int
}

// begin starts the world's members: voters, relays below the first voter, and one subscriber of scope "a".
func (w startingState) begin(plant func(*Node)) *cluster {
	c := newCluster()
	limits := modelLimits()
	var voters, parents []string
	for i := range w.voters {
		voters = append(voters, fmt.Sprint("v", i))
		c.add(voter(voters[i], limits))
	}
	for i := range w.relays {
		parents = append(parents, fmt.Sprint("r", i))
		c.add(subscriber(parents[i], AllScopes(), limits, voters...))
	}
	if w.relays == 0 {
		parents = voters
	}
	leaf := c.add(subscriber("leaf", SomeScopes("a"), limits, parents...))
	c.accept(modelEntries(1)...)
	for _, m := range c.members[:w.voters] {
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

// playOnCopy plays an event on a copy of a state, checks every node playOnCopy it, and tells whether it could happen.
func (c *cluster) playOnCopy(h modelEvent, plant func(*Node)) (next *cluster, could bool) {
	next = c.clone()
	could = next.play(h)
	plant(next.members[len(next.members)-1].node)
	next.verify()
	return next, could
}

func (c *cluster) verify() {
	for _, m := range c.members {
		m.verify()
	}
}

// convergeSteps is the time in which everybody has the whole record once nothing fails any more.
const convergeSteps = 14

// converge ends all failures and checks that everybody gets the whole record.
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
			c.reportViolation("%s stays at %v, the record is at %v", m.config.Name, m.node.Version(), want)
		}
	}
}

// reachedState is a state of the model and the events that led to it.
type reachedState struct {
	cluster *cluster
	path    []modelEvent
}

// explore plays every order of the world's events to a depth. It gives the shortest breach, or "" if there is none,
// and how many states there are.
func (w startingState) explore(depth int, plant func(*Node)) (breach string, states int) {
	start := reachedState{cluster: w.begin(plant)}
	for _, h := range parseEvents(w.setup) {
		start.path = append(start.path, h)
		start.cluster, _ = start.cluster.playOnCopy(h, plant)
		if start.cluster.violation != "" {
			return fmt.Sprint(start.path, ": ", start.cluster.violation), 0
		}
	}
	kinds := parseEvents(w.kinds)
	seen, level := map[uint64]bool{}, []reachedState{start}
	for range depth {
		var next []reachedState
		for _, from := range level {
			for _, h := range kinds {
				c, could := from.cluster.playOnCopy(h, plant)
				path := append(slices.Clone(from.path), h)
				if c.violation != "" {
					return fmt.Sprint(path, ": ", c.violation), len(seen)
				}
				if !could {
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
					return fmt.Sprint(path, " and no failure any more: ", end.violation), len(seen)
				}
			}
		}
		level = next
	}
	return "", len(seen)
}
