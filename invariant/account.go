// Package invariant judges the five rules, and the order of owners, over an account of what really happened: who was told
// what when, which worker was tried, what took effect. It knows nothing of how controllers decide.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits are the figures of an installation that are judged by.
type Limits struct {
	MaxEmptyTable  time.Duration // that a joined relay may lack a line for a class while a ready, warm worker is listed
	DrainGrace     time.Duration // in which a worker that drains or is gone has to be left
	MaxMessages    int           // to one relay within Span, by all controllers together; 0 for no limit
	MessageWindow  time.Duration
	LinesPerSecond float64 // that leave one controller, with a backlog of Backlog
	Backlog        float64
	Margin         time.Duration // beyond each time, for what a busy machine adds to what it measures
}

// Violation is one broken rule.
type Violation struct {
	Rule  int // 1 to 5; 6 is an order of an owner that is over
	At    time.Duration
	Whose string // the relay, worker or effect
	Text  string
}

// Checker is what happened, on one clock that begins at 0. All methods may be called from anywhere.
type Checker struct {
	limits Limits
	mutex  sync.Mutex

	breaches []Violation
	counts   map[string]int
	relays   map[int]*relay
	workers  map[string]*worker
	effects  map[string]time.Duration
	sent     map[string]*bucket
	longest  time.Duration // that any relay was bare
	most     int           // messages to one relay within the span
}

// breachesKept of them are kept with their words.
const breachesKept = 100

type relay struct {
	joined   bool
	since    time.Duration            // when that began
	bare     map[string]time.Duration // since when, by class
	reported map[string]bool          // classes whose bare spell was counted as a breach already
	messages []time.Duration
	token    uint64
	over     bool // of its messages, which was counted as a breach already
}

type worker struct {
	ready, warm bool
	leave       time.Duration // by when it has to be left; 0 while it has not
	fell        bool
}

// bucket follows what waits in a controller's channel.
type bucket struct {
	at    time.Duration
	lines float64
}

// NewChecker opens an account.
func NewChecker(limits Limits) *Checker {
	return &Checker{limits: limits, counts: map[string]int{}, relays: map[int]*relay{}, workers: map[string]*worker{},
		effects: map[string]time.Duration{}, sent: map[string]*bucket{}}
}

func (a *Checker) breach(rule int, at time.Duration, whose, format string, args ...any) {
	a.counts[fmt.Sprint("rule ", rule)]++
	if len(a.breaches) < breachesKept { // the first say enough, and an account has an end
		a.breaches = append(a.breaches, Violation{rule, at, whose, fmt.Sprintf(format, args...)})
	}
}

func (a *Checker) relay(id int) *relay {
	if a.relays[id] == nil {
		a.relays[id] = &relay{bare: map[string]time.Duration{}, reported: map[string]bool{}}
	}
	return a.relays[id]
}

// EndpointListed notes that discovery has told every controller of a worker's state. One that drains or is gone has to be left
// within the grace from now on.
func (a *Checker) EndpointListed(id string, ready, warm bool, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.workers[id]
	if w == nil {
		w = &worker{}
		a.workers[id] = w
	}
	if w.ready, w.warm = ready, warm; ready {
		w.leave = 0
	} else if w.leave == 0 {
		w.leave = at + a.limits.DrainGrace + a.limits.Margin
	}
}

// ProxyConnected notes that a relay has a stream to some controller, or has lost it. Its time without a line counts while it has
// one.
func (a *Checker) ProxyConnected(id int, joined bool, lacks []string, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.relay(id)
	if r.joined, r.since = joined, at; !joined {
		clear(r.bare)
		clear(r.reported)
		return
	}
	for _, class := range lacks {
		r.bare[class] = at
	}
}

// TableChanged notes that a relay has a line for a class that it can pick from now on, or has none.
func (a *Checker) TableChanged(id int, class string, any bool, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.relay(id)
	since, bare := r.bare[class]
	switch {
	case any && bare:
		a.bare(id, class, since, at)
		delete(r.bare, class)
		delete(r.reported, class)
	case !any && !bare && r.joined:
		r.bare[class] = at
	}
}

// bare judges rule 1 for a spell that has lasted until now.
func (a *Checker) bare(id int, class string, since, at time.Duration) {
	warm := slices.ContainsFunc(a.sorted(), func(w *worker) bool { return w.ready && w.warm })
	if !warm {
		return
	}
	a.longest = max(a.longest, at-since)
	if r := a.relay(id); at-since > a.limits.MaxEmptyTable+a.limits.Margin && !r.reported[class] {
		r.reported[class] = true
		a.breach(1, at, fmt.Sprint("relay ", id), "no line for %s since %s", class, since.Round(time.Millisecond))
	}
}

func (a *Checker) sorted() (all []*worker) {
	for _, w := range a.workers {
		all = append(all, w)
	}
	return all
}

// EffectTaken notes that a piece of work took effect at a worker. Its key is its own; the same key again breaks rule 2.
func (a *Checker) EffectTaken(key string, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if first, twice := a.effects[key]; twice {
		a.breach(2, at, key, "took effect at %s already", first.Round(time.Millisecond))
		return
	}
	a.effects[key] = at
}

// AttemptSent notes that a relay sends a worker something now, by its table. A relay that came to its controller after the
// worker was to be left has the grace from then on.
func (a *Checker) AttemptSent(id string, by int, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, r := a.workers[id], a.relay(by)
	if w == nil || w.leave == 0 || !r.joined {
		return // whoever has no stream cannot be told
	}
	if left := max(w.leave, r.since+a.limits.DrainGrace+a.limits.Margin); at > left {
		a.breach(3, at, fmt.Sprint("relay ", by), "sent to %s, which was to be left by %s", id, left.Round(time.Millisecond))
	}
}

// EndpointRemoved notes that a cold worker was pushed over.
func (a *Checker) EndpointRemoved(id string, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.workers[id]; w != nil && !w.fell {
		w.fell = true
		a.breach(4, at, id, "pushed over while it was cold")
	}
}

// OrderApplied notes that a relay has applied an order of a controller; a token of 0 is none.
func (a *Checker) OrderApplied(by string, id int, token uint64, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.relay(id)
	if token > 0 && token < r.token {
		a.breach(6, at, fmt.Sprint("relay ", id), "applied an order of %s by token %d after %d", by, token, r.token)
	}
	r.token = max(r.token, token)
}

// OrderQueued notes that a message of some lines for a relay enters a controller's channel. By names the controller's
// process: another process has a channel of its own.
func (a *Checker) OrderQueued(by string, id int, lines int, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.relay(id)
	if a.limits.MaxMessages > 0 {
		r.messages = slices.DeleteFunc(r.messages, func(t time.Duration) bool { return t <= at-a.limits.MessageWindow })
		r.messages = append(r.messages, at)
		a.most = max(a.most, len(r.messages))
		if over := len(r.messages) > a.limits.MaxMessages; over && !r.over {
			a.breach(5, at, fmt.Sprint("relay ", id), "%d messages within %s", len(r.messages), a.limits.MessageWindow)
		}
		r.over = len(r.messages) > a.limits.MaxMessages
	}
	b := a.sent[by]
	if b == nil {
		b = &bucket{at: at}
		a.sent[by] = b
	}
	b.lines = max(0, b.lines-(at-b.at).Seconds()*a.limits.LinesPerSecond) + float64(lines)
	if b.at = at; a.limits.LinesPerSecond > 0 && b.lines > a.limits.Backlog {
		a.breach(5, at, by, "%.0f lines in its channel, %.0f at most", b.lines, a.limits.Backlog)
		b.lines = 0
	}
}

// Verdict is what an account shows.
type Verdict struct {
	Breaches []Violation
	Counts   map[string]int // by rule, for breaches that are too many to keep
	Effects  int
	Longest  time.Duration // that a joined relay lacked a line
	Most     int           // messages to a relay within the span
}

// Verdict closes the account: spells that last are judged as they stand.
func (a *Checker) Verdict(at time.Duration) Verdict {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, r := range a.relays {
		for class, since := range r.bare {
			a.bare(id, class, since, at)
		}
	}
	slices.SortFunc(a.breaches, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.Whose, y.Whose))
	})
	return Verdict{a.breaches, a.counts, len(a.effects), a.longest, a.most}
}
