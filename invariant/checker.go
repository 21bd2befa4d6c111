// Package invariant checks a recorded run against the five rules of the operators, and the order of owners: which proxy was
// told what when, which backend was sent what, what took effect. It knows nothing of how controllers decide.
//
// A Checker is told what happens and judges most rules at once, each in a file of its own. Rule 1 is judged when a gap
// ends, or by Verdict; rule 4 where a backend is overloaded, which fake.Backend tells. Times are on one clock that begins
// at 0.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule is the number of a rule in the operators' pages.
type Rule int

// The rules.
const (
	RuleEmptyTable      Rule = 1 // a connected proxy has an entry for each class while a warm backend is listed
	RuleDuplicateEffect Rule = 2 // no request takes effect twice
	RuleDrainGrace      Rule = 3 // a backend that drains or is gone is left within the grace
	RuleColdStart       Rule = 4 // a cold backend is not overloaded
	RulePushBudget      Rule = 5 // messages and lines to proxies stay within what they take
	RuleOwnerOrder      Rule = 6 // no push of an owner that is over is applied
)

// Limits are the figures that a run is checked by.
type Limits struct {
	MaxEmptyTable  time.Duration // that a connected proxy may lack an entry for a class while a ready, warm backend is listed
	DrainGrace     time.Duration // in which a backend that drains or is gone has to be left
	MaxMessages    int           // to one proxy within MessageWindow, by all controllers together; 0 for no limit
	MessageWindow  time.Duration // that MaxMessages is for
	LinesPerSecond float64       // that leave one controller; 0 for no limit
	Backlog        float64       // lines that may wait to leave
	Margin         time.Duration // added to each time, for what a busy machine adds to what it measures
}

// Violation is one broken rule.
type Violation struct {
	Rule    Rule          `json:"Rule"`  // that was broken
	At      time.Duration `json:"At"`    // since the run began
	Subject string        `json:"Whose"` // the proxy, backend, controller or effect
	Text    string        `json:"Text"`  // what happened
}

// maxViolations is how many violations a verdict has with their texts; more are only counted.
const maxViolations = 100

// Checker is told what happens in a run. Safe for concurrent use.
type Checker struct {
	limits Limits

	mutex      sync.Mutex // of all below
	violations []Violation
	counts     map[string]int // of violations, by rule
	proxies    map[int]*proxy
	backends   map[string]*backend
	effects    map[string]time.Duration // when each took effect, by key
	queues     map[string]*queue        // by controller's process

	longestEmptyTable time.Duration
	mostMessages      int // to one proxy within the window
}

// proxy is what a checker knows of one.
type proxy struct {
	connected     bool
	changedAt     time.Duration            // when connected last changed
	emptySince    map[string]time.Duration // by class, of those without an entry while connected
	emptyReported map[string]bool          // classes whose violation stands already
	messages      []time.Duration          // within the window
	overBudget    bool                     // its messages; the violation stands already
	token         uint64                   // the highest that was applied
}

// backend is what a checker knows of one.
type backend struct {
	ready      bool
	warm       bool
	leaveBy    time.Duration // 0 while it may be sent requests
	overloaded bool
}

// NewChecker makes a checker that knows of nothing yet.
func NewChecker(limits Limits) *Checker {
	return &Checker{
		limits:   limits,
		counts:   map[string]int{},
		proxies:  map[int]*proxy{},
		backends: map[string]*backend{},
		effects:  map[string]time.Duration{},
		queues:   map[string]*queue{},
	}
}

// violate notes a violation. The checker is locked.
func (c *Checker) violate(rule Rule, at time.Duration, subject, format string, args ...any) {
	c.counts[fmt.Sprint("rule ", rule)]++
	if len(c.violations) >= maxViolations {
		return
	}
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// proxy gives what is known of a proxy, which may be nothing. The checker is locked.
func (c *Checker) proxy(id int) *proxy {
	p := c.proxies[id]
	if p == nil {
		p = &proxy{emptySince: map[string]time.Duration{}, emptyReported: map[string]bool{}}
		c.proxies[id] = p
	}
	return p
}

func proxyName(id int) string { return fmt.Sprint("proxy ", id) }

// ProxyConnected notes that pushes of some controller reach a proxy from now on, or do not. Empty are the classes that it
// has no entry for.
func (c *Checker) ProxyConnected(id int, connected bool, empty []string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.proxy(id)
	p.connected = connected
	p.changedAt = at
	if !connected {
		clear(p.emptySince)
		clear(p.emptyReported)
		return
	}
	for _, class := range empty {
		p.emptySince[class] = at
	}
}

// EndpointListed notes that discovery has told every controller of a backend's state. One that drains or is gone has to be
// left within the grace from now on.
func (c *Checker) EndpointListed(id string, ready, warm bool, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := c.backends[id]
	if b == nil {
		b = &backend{}
		c.backends[id] = b
	}
	b.ready = ready
	b.warm = warm
	switch {
	case ready:
		b.leaveBy = 0
	case b.leaveBy == 0:
		b.leaveBy = at + c.limits.DrainGrace + c.limits.Margin
	}
}

// Verdict is what a run has shown.
type Verdict struct {
	Violations        []Violation    // in the order of their times; the first hundred that were met
	Counts            map[string]int // of all violations, by "rule N"
	Effects           int            // requests that took effect
	LongestEmptyTable time.Duration  // that a connected proxy lacked an entry
	PeakMessages      int            // to one proxy within the window
}

// Verdict judges what still lasts as it stands, and gives what the run has shown. It is called once, at the end.
func (c *Checker) Verdict(at time.Duration) Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, p := range c.proxies {
		for class, since := range p.emptySince {
			c.checkEmptyTable(id, class, since, at)
		}
	}
	slices.SortFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Subject, b.Subject))
	})
	return Verdict{
		Violations:        c.violations,
		Counts:            c.counts,
		Effects:           len(c.effects),
		LongestEmptyTable: c.longestEmptyTable,
		PeakMessages:      c.mostMessages,
	}
}
