package fake

import (
	"sync"
	"time"

	"wheelrill/invariant"
)

// Mode is how a worker behaves.
type Mode uint8

const (
	ModeHealthy  Mode = iota
	ModeHang          // takes everything and answers nothing
	ModeFailFast      // answers at once that it failed
	ModeRefuse        // takes nothing: proof that nothing ran
)

// Outcome is how a try ended.
type Outcome uint8

const (
	OutcomeSucceeded Outcome = iota
	OutcomeFailed            // it may have run
	OutcomeRejected          // it never ran
	OutcomeTimedOut          // it may run yet
)

// Backend is a backend: cores that take a time for each piece of work, and a queue before them.
type Backend struct {
	ID, Zone    string
	Weight      float64
	Cores       int
	ServiceTime time.Duration

	account *invariant.Checker
	clock   func() time.Duration

	mutex   sync.Mutex
	mode    Mode
	started time.Time // 0 for long ago
	warm    time.Duration
	busy    int
	queue   []*piece
}

type piece struct {
	key  string
	late time.Time
	done func(Outcome, time.Duration)
	came time.Time
}

// SetMode has the worker behave so from now on.
func (w *Backend) SetMode(m Mode) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mode = m
}

// Restart has it start anew, cold for a while.
func (w *Backend) Restart(warm time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mode, w.started, w.warm, w.queue = ModeHealthy, time.Now(), warm, nil
}

// Warm tells whether it may be sent as much as any.
func (w *Backend) Warm() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.started.IsZero() || time.Since(w.started) >= w.warm
}

func (w *Backend) entry(state string) entry {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	e := entry{ID: w.ID, Addr: w.ID, Zone: w.Zone, Kind: "w", State: state, Weight: w.Weight}
	if !w.started.IsZero() {
		e.Started = w.started.UnixMilli()
	}
	return e
}

// coldQueue is how many pieces for each core a cold worker bears to have waiting.
const coldQueue = 8

// Handle gives the worker a piece of work. Done is called once, with the time that it took, unless patience ends before.
func (w *Backend) Handle(key string, patience time.Duration, done func(Outcome, time.Duration)) {
	now := time.Now()
	w.mutex.Lock()
	mode := w.mode
	if mode == ModeHealthy {
		w.queue = append(w.queue, &piece{key, now.Add(patience), done, now})
		if w.started.Add(w.warm).After(now) && len(w.queue) > coldQueue*w.Cores {
			w.mode, w.queue = ModeHang, nil
			w.account.EndpointRemoved(w.ID, w.clock())
		}
		w.mutex.Unlock()
		w.next()
		return
	}
	w.mutex.Unlock()
	switch mode {
	case ModeFailFast:
		time.AfterFunc(w.ServiceTime/4, func() { done(OutcomeFailed, w.ServiceTime/4) })
	case ModeRefuse:
		time.AfterFunc(time.Millisecond, func() { done(OutcomeRejected, time.Millisecond) })
	}
}

// next begins what waits, as far as cores are free. What is late already is dropped without having run.
func (w *Backend) next() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.busy < w.Cores && len(w.queue) > 0 {
		p := w.queue[0]
		w.queue = w.queue[1:]
		if time.Now().After(p.late) {
			continue
		}
		w.busy++
		w.account.EffectTaken(p.key, w.clock())
		time.AfterFunc(w.ServiceTime, func() {
			w.mutex.Lock()
			w.busy--
			hangs := w.mode == ModeHang
			w.mutex.Unlock()
			if !hangs {
				p.done(OutcomeSucceeded, time.Since(p.came))
			}
			w.next()
		})
	}
}
