package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// request is a request that a proxy received, with the data of its current attempt.
type request struct {
	class     int
	key       string // unique key of the request
	arrivedAt time.Time
	retries   int    // number of earlier attempts of the request
	previous  string // backend of the previous attempt
	random    uint64 // random number that determines the picked backend
}

// generateRequests passes requests of a class to handleRequest, at exponentially distributed
// intervals, until the context ends.
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

// handleRequest counts a request, and makes its first attempt unless the admission limit rejects
// it.
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
	p.attempt(request{class: class, key: key, arrivedAt: time.Now(), random: random.Uint64()})
}

// attempt sends a request to a backend that is picked by weight, other than the backend of the
// previous attempt. The caller holds the mutex.
func (p *Proxy) attempt(r request) {
	class := p.fleet.classes[r.class]
	id, found := p.tables[r.class].Pick(r.previous, r.random)
	if !found {
		p.counts.Lost++
		return
	}
	backend := p.fleet.backend(id)
	timeout := time.Until(r.arrivedAt.Add(class.Deadline))
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
	var once sync.Once // whichever comes first, the backend's answer or the timeout, ends the attempt
	finish := func(outcome Outcome, latency time.Duration) {
		once.Do(func() {
			p.fleet.reportOutcome(p.zone, controller, id, outcome, latency)
			p.finishAttempt(r, id, outcome)
		})
	}
	timer := time.AfterFunc(timeout, func() { finish(OutcomeTimedOut, timeout) })
	effect := r.key
	if !class.Writes {
		effect = fmt.Sprint(r.key, "#", r.retries) // requests of this class may run twice: an effect key for each attempt
	}
	backend.Handle(effect, timeout, func(outcome Outcome, latency time.Duration) {
		timer.Stop()
		finish(outcome, latency)
	})
}

// finishAttempt counts the result of the request, or retries the request once.
func (p *Proxy) finishAttempt(r request, backend string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	class := p.fleet.classes[r.class]
	switch {
	case outcome == OutcomeSucceeded && time.Since(r.arrivedAt) <= class.LatencyObjective:
		p.counts.Served++
		p.counts.ServedValue += class.PriorityWeight
	case outcome == OutcomeSucceeded:
		p.counts.Late++
	case r.retries == 0 && p.mayRetry(r.class, outcome):
		p.attempt(request{
			class: r.class, key: r.key, arrivedAt: r.arrivedAt, retries: 1, previous: backend, random: NextRandom(r.random),
		})
	default:
		p.counts.Lost++
	}
}

// mayRetry reports whether the retry policy of a class allows a retry after an unsuccessful
// outcome. The caller holds the mutex.
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

// admissionLimit is the token bucket that limits the admitted requests of a class, and the retry
// policy of that class.
type admissionLimit struct {
	set        bool    // the limit applies; otherwise every request is admitted
	rate       float64 // admitted requests per second
	retry      int     // retry policy of the class
	tokens     float64 // number of requests that could be admitted at refilledAt
	refilledAt time.Time
}

func newAdmissionLimit(rate float64, retry int) admissionLimit {
	return admissionLimit{set: true, rate: rate, retry: retry, tokens: 1, refilledAt: time.Now()}
}

// admit reports whether a request is admitted, and takes a token for it. Without a limit, every
// request is admitted.
func (l *admissionLimit) admit() bool {
	if !l.set {
		return true
	}
	now := time.Now()
	l.tokens = min(max(1, l.rate), l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
