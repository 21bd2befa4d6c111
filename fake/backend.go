package fake

import (
	"sync"
	"time"

	"wheelrill/invariant"
)

// Mode is how a backend behaves.
type Mode uint8

// Modes of a backend.
const (
	ModeHealthy  Mode = iota // serves as fast as its cores allow
	ModeHang                 // takes everything and answers nothing
	ModeFailFast             // answers at once that it failed
	ModeRefuse               // takes nothing: proof that nothing ran
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeFailed            // it may have run
	OutcomeRejected          // it never ran
	OutcomeTimedOut          // it may run yet
)

// Backend has cores that take a time for each request, and a queue before them. Safe for concurrent use.
type Backend struct {
	ID          string        // its name on the wire
	Zone        string        // by name
	Weight      float64       // as discovery has it
	Cores       int           // requests that are served at once
	ServiceTime time.Duration // of one request

	checker *invariant.Checker
	clock   func() time.Duration

	mutex   sync.Mutex // of all below
	mode    Mode
	started time.Time     // zero for long ago
	warmup  time.Duration // that it is cold after its start
	busy    int           // cores
	queue   []*queuedRequest
}

type queuedRequest struct {
	key      string
	arrived  time.Time
	deadline time.Time
	done     func(Outcome, time.Duration)
}

const (
	// coldQueuePerCore is how many requests for each core may wait at a cold backend before it is overloaded.
	coldQueuePerCore = 8
	refuseTime       = time.Millisecond
	failFastShare    = 4 // a failure takes one part in so many of the service time
)

// SetMode has the backend behave so from now on.
func (b *Backend) SetMode(mode Mode) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.mode = mode
}

// Restart has it start anew: healthy, with an empty queue, and cold for a while.
func (b *Backend) Restart(warmup time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.mode = ModeHealthy
	b.started = time.Now()
	b.warmup = warmup
	b.queue = nil
}

// Warm tells whether it may be sent as much as any.
func (b *Backend) Warm() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.started.IsZero() || time.Since(b.started) >= b.warmup
}

func (b *Backend) hangs() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.mode == ModeHang
}

// discoveryEntry is the backend as discovery writes it.
func (b *Backend) discoveryEntry(state State) discoveryEntry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entry := discoveryEntry{ID: b.ID, Addr: b.ID, Zone: b.Zone, Kind: "w", State: state, Weight: b.Weight}
	if !b.started.IsZero() {
		entry.Started = b.started.UnixMilli()
	}
	return entry
}

// Handle gives the backend a request. Done is called once, with the time that it took, on a goroutine of its own; never
// where the backend hangs, or where the timeout ends before a core is free. A cold backend with too long a queue is
// overloaded, and hangs from then on.
func (b *Backend) Handle(key string, timeout time.Duration, done func(Outcome, time.Duration)) {
	switch b.enqueue(key, timeout, done) {
	case ModeHealthy:
		b.serveQueue()
	case ModeFailFast:
		took := b.ServiceTime / failFastShare
		time.AfterFunc(took, func() { done(OutcomeFailed, took) })
	case ModeRefuse:
		time.AfterFunc(refuseTime, func() { done(OutcomeRejected, refuseTime) })
	}
}

// enqueue puts a request into the queue of a healthy backend, and gives the mode that it came in.
func (b *Backend) enqueue(key string, timeout time.Duration, done func(Outcome, time.Duration)) Mode {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.mode != ModeHealthy {
		return b.mode
	}
	b.queue = append(b.queue, &queuedRequest{key: key, arrived: now, deadline: now.Add(timeout), done: done})
	cold := b.started.Add(b.warmup).After(now)
	if cold && len(b.queue) > coldQueuePerCore*b.Cores {
		b.mode = ModeHang
		b.queue = nil
		b.checker.ColdBackendOverloaded(b.ID, b.clock())
	}
	return ModeHealthy
}

// serveQueue begins what waits, as far as cores are free. What is past its deadline is dropped without having run.
func (b *Backend) serveQueue() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.busy < b.Cores && len(b.queue) > 0 {
		request := b.queue[0]
		b.queue = b.queue[1:]
		if time.Now().After(request.deadline) {
			continue
		}
		b.busy++
		b.checker.EffectApplied(request.key, b.clock())
		time.AfterFunc(b.ServiceTime, func() { b.finish(request) })
	}
}

// finish frees a request's core, and answers unless the backend hangs.
func (b *Backend) finish(request *queuedRequest) {
	b.mutex.Lock()
	b.busy--
	hangs := b.mode == ModeHang
	b.mutex.Unlock()
	if !hangs {
		request.done(OutcomeSucceeded, time.Since(request.arrived))
	}
	b.serveQueue()
}
