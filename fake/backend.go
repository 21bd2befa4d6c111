package fake

import (
	"sync"
	"time"

	"wheelrill/invariant"
)

// Mode is the way in which a backend treats requests.
type Mode uint8

// Modes of a backend.
const (
	ModeHealthy  Mode = iota // the backend serves requests as fast as its cores allow
	ModeHang                 // the backend accepts every request and answers none
	ModeFailFast             // the backend answers with a failure after 1/failFastDivisor of the service time
	ModeRefuse               // the backend rejects every request, which proves that the request did not run
)

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeFailed            // the backend answered with a failure; the request may have run
	OutcomeRejected          // the backend rejected the request, which did not run
	OutcomeTimedOut          // no answer before the timeout; the request may have run or may still run
)

// Backend serves up to Cores requests at once, each for ServiceTime, and queues the others. Safe
// for concurrent use.
type Backend struct {
	ID          string        // name of the backend on the wire
	Zone        string        // zone of the backend
	Weight      float64       // weight that discovery publishes
	Cores       int           // number of requests served at once
	ServiceTime time.Duration // time for which a request occupies a core

	checker *invariant.Checker
	clock   func() time.Duration

	mutex     sync.Mutex // guards the fields below
	mode      Mode
	startedAt time.Time     // time at which the backend started; zero if it started long ago and is warm
	warmup    time.Duration // time after startedAt for which the backend is cold
	busyCores int
	queue     []*queuedRequest
}

type queuedRequest struct {
	key      string
	arrived  time.Time
	deadline time.Time
	done     func(Outcome, time.Duration)
}

const (
	// coldQueuePerCore is the number of requests per core that may wait at a cold backend; a longer
	// queue overloads it.
	coldQueuePerCore = 8
	// refusalLatency is the time that a rejection takes.
	refusalLatency = time.Millisecond
	// A failure in ModeFailFast takes the service time divided by failFastDivisor.
	failFastDivisor = 4
)

// SetMode sets the mode in which the backend treats requests from now on.
func (b *Backend) SetMode(mode Mode) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.mode = mode
}

// Restart puts the backend into the state of a new process: healthy, with an empty queue, and cold
// for the warmup time. Requests that occupy a core continue.
func (b *Backend) Restart(warmup time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.mode = ModeHealthy
	b.startedAt = time.Now()
	b.warmup = warmup
	b.queue = nil
}

// Warm reports whether the backend has run for its warmup time, so that it can take full load.
func (b *Backend) Warm() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.startedAt.IsZero() || time.Since(b.startedAt) >= b.warmup
}

func (b *Backend) hangs() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.mode == ModeHang
}

// discoveryEntry returns the entry of the backend in the endpoint list.
func (b *Backend) discoveryEntry(state State) discoveryEntry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entry := discoveryEntry{ID: b.ID, Addr: b.ID, Zone: b.Zone, Kind: "w", State: state, Weight: b.Weight}
	if !b.startedAt.IsZero() {
		entry.Started = b.startedAt.UnixMilli()
	}
	return entry
}

// Handle accepts a request. It calls done once, on a separate goroutine, with the outcome and the
// time that the attempt took. It never calls done if the backend hangs, or if timeout has passed
// before a core is free. A cold backend whose queue gets too long is overloaded, and hangs from
// then on.
func (b *Backend) Handle(key string, timeout time.Duration, done func(Outcome, time.Duration)) {
	switch b.enqueue(key, timeout, done) {
	case ModeHealthy:
		b.serveQueue()
	case ModeFailFast:
		latency := b.ServiceTime / failFastDivisor
		time.AfterFunc(latency, func() { done(OutcomeFailed, latency) })
	case ModeRefuse:
		time.AfterFunc(refusalLatency, func() { done(OutcomeRejected, refusalLatency) })
	}
}

// enqueue appends a request to the queue if the backend is healthy. It returns the mode in which
// the request arrived.
func (b *Backend) enqueue(key string, timeout time.Duration, done func(Outcome, time.Duration)) Mode {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.mode != ModeHealthy {
		return b.mode
	}
	b.queue = append(b.queue, &queuedRequest{key: key, arrived: now, deadline: now.Add(timeout), done: done})
	cold := b.startedAt.Add(b.warmup).After(now)
	if cold && len(b.queue) > coldQueuePerCore*b.Cores {
		b.mode = ModeHang
		b.queue = nil
		b.checker.ColdBackendOverloaded(b.ID, b.clock())
	}
	return ModeHealthy
}

// serveQueue starts queued requests while cores are free. It drops requests that are past their
// deadline; they do not run.
func (b *Backend) serveQueue() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.busyCores < b.Cores && len(b.queue) > 0 {
		request := b.queue[0]
		b.queue = b.queue[1:]
		if time.Now().After(request.deadline) {
			continue
		}
		b.busyCores++
		b.checker.EffectApplied(request.key, b.clock())
		time.AfterFunc(b.ServiceTime, func() { b.finish(request) })
	}
}

// finish frees the core of a request, and answers the request unless the backend hangs.
func (b *Backend) finish(request *queuedRequest) {
	b.mutex.Lock()
	b.busyCores--
	hangs := b.mode == ModeHang
	b.mutex.Unlock()
	if !hangs {
		request.done(OutcomeSucceeded, time.Since(request.arrived))
	}
	b.serveQueue()
}
