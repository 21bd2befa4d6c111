package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// request is one request that came to a proxy, and its attempt in hand.
type request struct {
	class    int
	key      string // its own
	began    time.Time
	retries  int    // attempts before this one
	previous string // backend of the attempt before
	random   uint64 // picks the backend
}

// generateRequests has requests of a class come to the proxy until the context ends.
func (p *Proxy) generateRequests(ctx context.Context, class int, random *rand.Rand) {
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / p.fleet.classes[class].Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		p.handleRequest(class, fmt.Sprintf("%d/%d/%d", p.number, class, n), random)
	}
}

// handleRequest admits a request and makes its first attempt, or rejects it.
func (p *Proxy) handleRequest(class int, key string, random *rand.Rand) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.demand[class]++
	p.counts.Requests++
	p.counts.OfferedValue += p.fleet.classes[class].PriorityWeight
	if !p.limits[class].admit() {
		p.counts.Rejected++
		return
	}
	p.attempt(request{class: class, key: key, began: time.Now(), random: random.Uint64()})
}

// attempt sends a request to a backend by weight, not to the one of the attempt before. The proxy is locked.
func (p *Proxy) attempt(r request) {
	class := p.fleet.classes[r.class]
	id, found := p.tables[r.class].Pick(r.previous, r.random)
	if !found {
		p.counts.Lost++
		return
	}
	backend := p.fleet.backend(id)
	timeout := time.Until(r.began.Add(class.Deadline))
	if backend == nil || timeout <= 0 {
		p.counts.Lost++
		return
	}
	p.fleet.checker.AttemptSent(id, p.number, p.fleet.Clock())
	p.counts.Attempts++
	if backend.hangs() {
		p.counts.AttemptsIntoHang++
	}
	controller := p.controller
	var once sync.Once // the backend's answer or the time-out, whichever is first
	finish := func(outcome Outcome, took time.Duration) {
		once.Do(func() {
			p.fleet.reportOutcome(p.zone, controller, id, outcome, took)
			p.finishAttempt(r, id, outcome)
		})
	}
	timer := time.AfterFunc(timeout, func() { finish(OutcomeTimedOut, timeout) })
	effect := r.key
	if !class.Writes {
		effect = fmt.Sprint(r.key, "#", r.retries) // what may run twice has no effect of its own
	}
	backend.Handle(effect, timeout, func(outcome Outcome, took time.Duration) {
		timer.Stop()
		finish(outcome, took)
	})
}

// finishAttempt counts the request's end, or retries it.
func (p *Proxy) finishAttempt(r request, backend string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	class := p.fleet.classes[r.class]
	switch {
	case outcome == OutcomeSucceeded && time.Since(r.began) <= class.LatencyObjective:
		p.counts.Served++
		p.counts.ServedValue += class.PriorityWeight
	case outcome == OutcomeSucceeded:
		p.counts.Late++
	case r.retries == 0 && p.mayRetry(r.class, outcome):
		p.attempt(request{class: r.class, key: r.key, began: r.began, retries: 1, previous: backend, random: NextRandom(r.random)})
	default:
		p.counts.Lost++
	}
}

// mayRetry tells whether the policy in force lets a failed attempt be followed by another. The proxy is locked.
func (p *Proxy) mayRetry(class int, outcome Outcome) bool {
	policy := retryIfNotExecuted
	if limit := p.limits[class]; limit.set {
		policy = limit.retry
	}
	if outcome == OutcomeRejected && policy >= retryIfNotExecuted {
		return true
	}
	return policy >= retryOnFailure && !p.fleet.classes[class].Writes
}

// admissionLimit is how many requests of a class are admitted a second, as a token bucket, and how attempts are retried.
type admissionLimit struct {
	set    bool // without it all are admitted
	rate   float64
	retry  int
	tokens float64 // requests that may be admitted now
	at     time.Time
}

func newAdmissionLimit(rate float64, retry int) admissionLimit {
	return admissionLimit{set: true, rate: rate, retry: retry, tokens: 1, at: time.Now()}
}

// admit takes a token, if there is one.
func (l *admissionLimit) admit() bool {
	if !l.set {
		return true
	}
	now := time.Now()
	l.tokens = min(max(1, l.rate), l.tokens+now.Sub(l.at).Seconds()*l.rate)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
