// Package invariant checks a recorded run against the five rules of the operators and against the
// rule on the order of owners. Its inputs are the pushes to each proxy with their times, the
// attempts sent to each backend, and the requests that took effect. It does not depend on how
// controllers decide.
//
// A Checker receives the events of a run and checks most rules at each event; each rule has a file
// of its own. Rule 1 is checked at the end of each period in which a proxy has no entry for a class,
// and by Verdict for the periods that have not ended yet. A violation of rule 4 is detected by
// fake.Backend, which reports it when a cold backend is overloaded. All times are on one clock that
// starts at 0.
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

// Numbers of the rules.
const (
	RuleEmptyTable      Rule = 1 // a connected proxy has an entry for each class while a ready, warm backend is listed
	RuleDuplicateEffect Rule = 2 // no request takes effect twice
	RuleDrainGrace      Rule = 3 // a draining or removed backend is sent no request after the drain grace
	RuleColdStart       Rule = 4 // a cold backend is not overloaded
	RulePushBudget      Rule = 5 // messages to a proxy and lines in a push channel stay within their limits
	RuleOwnerOrder      Rule = 6 // a proxy applies no push of a former owner
)

// Limits holds the limits that a run is checked against.
type Limits struct {
	// MaxEmptyTable is the longest time for which a connected proxy may lack an entry for a class
	// while a ready, warm backend is listed.
	MaxEmptyTable time.Duration
	// DrainGrace is the time within which proxies have to stop sending to a backend that drains or
	// is removed.
	DrainGrace time.Duration
	// MaxMessages limits the messages to one proxy within MessageWindow, from all controllers
	// together; 0 for no limit.
	MaxMessages    int
	MessageWindow  time.Duration // length of the period to which MaxMessages applies
	LinesPerSecond float64       // rate at which lines leave the push channel of one controller; 0 for no limit
	Backlog        float64       // maximum number of lines that wait in the push channel of one controller
	// Margin is added to MaxEmptyTable and DrainGrace, for the delays that a busy machine adds to
	// measured times.
	Margin time.Duration
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule          `json:"Rule"`  // number of the violated rule
	At      time.Duration `json:"At"`    // time of the violation, since the start of the run
	Subject string        `json:"Whose"` // proxy, backend, controller process or effect key that the violation is about
	Text    string        `json:"Text"`  // description of the violation
}

// maxViolations is the number of violations that a verdict lists; further ones are only counted.
const maxViolations = 100

// Checker receives the events of a run and checks the rules. Safe for concurrent use.
type Checker struct {
	limits Limits

	mutex      sync.Mutex // guards the fields below
	violations []Violation
	counts     map[string]int // number of violations, by rule, such as "rule 1"
	proxies    map[int]*proxy
	backends   map[string]*backend
	effects    map[string]time.Duration   // time at which each request took effect, by effect key
	backlogs   map[string]*channelBacklog // lines that wait in the push channels, by controller process

	longestEmptyTable time.Duration
	peakMessages      int // highest number of messages that any proxy was sent within MessageWindow
}

// proxy is the state of one proxy, as known from the events.
type proxy struct {
	connected           bool
	connectionChangedAt time.Duration            // time of the last call of ProxyConnected
	emptySince          map[string]time.Duration // since when the proxy lacks an entry, by class; empty if disconnected
	emptyReported       map[string]bool          // classes whose current lack of an entry is recorded as a violation
	messageTimes        []time.Duration          // times of the messages within MessageWindow
	overLimit           bool                     // the proxy now exceeds MaxMessages; the violation is recorded
	highestToken        uint64                   // highest fencing token of the applied pushes; 0 if no push had a token
}

// backend is the state of one backend, as known from the events.
type backend struct {
	ready         bool
	warm          bool
	drainDeadline time.Duration // end of the drain grace and the margin; 0 while the backend is ready
	overloaded    bool
}

// NewChecker returns a checker that has received no events.
func NewChecker(limits Limits) *Checker {
	return &Checker{
		limits:   limits,
		counts:   map[string]int{},
		proxies:  map[int]*proxy{},
		backends: map[string]*backend{},
		effects:  map[string]time.Duration{},
		backlogs: map[string]*channelBacklog{},
	}
}

// recordViolation counts a violation, and lists it unless maxViolations are listed already. The
// caller holds the mutex.
func (c *Checker) recordViolation(rule Rule, at time.Duration, subject, format string, args ...any) {
	c.counts[fmt.Sprint("rule ", rule)]++
	if len(c.violations) >= maxViolations {
		return
	}
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Subject: subject, Text: text})
}

// proxy returns the state of a proxy, and creates it at the first event of the proxy. The caller
// holds the mutex.
func (c *Checker) proxy(id int) *proxy {
	p := c.proxies[id]
	if p == nil {
		p = &proxy{emptySince: map[string]time.Duration{}, emptyReported: map[string]bool{}}
		c.proxies[id] = p
	}
	return p
}

func proxyName(id int) string { return fmt.Sprint("proxy ", id) }

// ProxyConnected records whether, from now on, pushes of any controller can reach a proxy. The
// parameter empty lists the classes for which the proxy has no entry.
func (c *Checker) ProxyConnected(id int, connected bool, empty []string, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.proxy(id)
	p.connected = connected
	p.connectionChangedAt = at
	if !connected {
		clear(p.emptySince)
		clear(p.emptyReported)
		return
	}
	for _, class := range empty {
		p.emptySince[class] = at
	}
}

// EndpointListed records that discovery has published the state of a backend to every controller.
// ready is false if the backend drains or is removed: proxies then have to stop sending to it
// within the drain grace from the first such event on.
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
		b.drainDeadline = 0
	case b.drainDeadline == 0:
		b.drainDeadline = at + c.limits.DrainGrace + c.limits.Margin
	}
}

// Verdict is the result of the checks of a run.
type Verdict struct {
	Violations        []Violation    // violations sorted by time; only the first 100 that were recorded
	Counts            map[string]int // number of violations, listed or not, by rule, such as "rule 1"
	Effects           int            // number of distinct effect keys of the requests that took effect
	LongestEmptyTable time.Duration  // longest time for which a connected proxy lacked an entry for a class
	PeakMessages      int            // highest number of messages that any proxy was sent within MessageWindow
}

// Verdict checks rule 1 for the proxies that still lack an entry for a class, and returns the result
// of all checks. It must be called only once, at the end of the run.
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
		PeakMessages:      c.peakMessages,
	}
}
