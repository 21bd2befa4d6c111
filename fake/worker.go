package fake

import (
	"sync"
	"time"

	"wheelrill/invariant"
)

// Mode is how a worker behaves.
type Mode uint8

const (
	Serves    Mode = iota
	Hangs          // takes everything and answers nothing
	FailsFast      // answers at once that it failed
	Refuses        // takes nothing: proof that nothing ran
)

// Result is how a try ended.
type Result uint8

const (
	Answered Result = iota
	Failed          // it may have run
	Refused         // it never ran
	TimedOut        // it may run yet
)

// Worker is a backend: cores that take a time for each piece of work, and a queue before them.
type Worker struct {
	ID, Zone string
	Weight   float64
	Cores    int
	Service  time.Duration

	account *invariant.Account
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
	done func(Result, time.Duration)
	came time.Time
}

// Set has the worker behave so from now on.
func (w *Worker) Set(m Mode) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mode = m
}

// Restart has it start anew, cold for a while.
func (w *Worker) Restart(warm time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mode, w.started, w.warm, w.queue = Serves, time.Now(), warm, nil
}

// Warm tells whether it may be sent as much as any.
func (w *Worker) Warm() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.started.IsZero() || time.Since(w.started) >= w.warm
}

func (w *Worker) entry(state string) entry {
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

// Take gives the worker a piece of work. Done is called once, with the time that it took, unless patience ends before.
func (w *Worker) Take(key string, patience time.Duration, done func(Result, time.Duration)) {
	now := time.Now()
	w.mutex.Lock()
	mode := w.mode
	if mode == Serves {
		w.queue = append(w.queue, &piece{key, now.Add(patience), done, now})
		if w.started.Add(w.warm).After(now) && len(w.queue) > coldQueue*w.Cores {
			w.mode, w.queue = Hangs, nil
			w.account.Fell(w.ID, w.clock())
		}
		w.mutex.Unlock()
		w.next()
		return
	}
	w.mutex.Unlock()
	switch mode {
	case FailsFast:
		time.AfterFunc(w.Service/4, func() { done(Failed, w.Service/4) })
	case Refuses:
		time.AfterFunc(time.Millisecond, func() { done(Refused, time.Millisecond) })
	}
}

// next begins what waits, as far as cores are free. What is late already is dropped without having run.
func (w *Worker) next() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.busy < w.Cores && len(w.queue) > 0 {
		p := w.queue[0]
		w.queue = w.queue[1:]
		if time.Now().After(p.late) {
			continue
		}
		w.busy++
		w.account.Took(p.key, w.clock())
		time.AfterFunc(w.Service, func() {
			w.mutex.Lock()
			w.busy--
			hangs := w.mode == Hangs
			w.mutex.Unlock()
			if !hangs {
				p.done(Answered, time.Since(p.came))
			}
			w.next()
		})
	}
}
