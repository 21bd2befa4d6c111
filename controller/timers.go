package controller

import (
	"slices"
	"time"
)

// microseconds is a Unix time or a duration, in the unit that package balancer uses.
type microseconds = int64

// microsPerSecond is the number of microseconds in a second.
const microsPerSecond microseconds = 1_000_000

// inSeconds converts a duration to seconds.
func inSeconds(duration microseconds) float64 { return float64(duration) / float64(microsPerSecond) }

// timer is a pending timer, set by balancer.Controller or by the ownership coordinator. The event
// loop owns it.
type timer struct {
	at  microseconds // clock time at which the timer is due, Unix time in µs
	tag uint64
}

// newClock returns a clock of Unix time. It advances with the monotonic clock from the time of this
// call on, so changes of the system time do not affect it.
func newClock() func() microseconds {
	began := time.Now()
	return func() microseconds { return began.UnixMicro() + time.Since(began).Microseconds() }
}

// Now implements balancer.Host. It returns the clock time of the current iteration.
func (l *eventLoop) Now() microseconds { return l.now }

// SetTimer implements balancer.Host: after the wait, and in the next iteration at the earliest, the
// loop calls TimerFired with the tag. Timers that are due at the same time fire in the order in
// which they were set.
func (l *eventLoop) SetTimer(wait microseconds, tag uint64) {
	added := timer{l.now + max(wait, 1), tag}
	at, _ := slices.BinarySearchFunc(l.timers, added, func(existing, added timer) int {
		if existing.at > added.at {
			return 1
		}
		return -1
	})
	l.timers = slices.Insert(l.timers, at, added)
}

// untilNextTimer returns how long the loop may wait for an event: the time until the next timer is
// due.
func (l *eventLoop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return l.limits.logRepeatInterval // no timer is set, so any duration is correct
	}
	return max(time.Duration(l.timers[0].at-l.clock())*time.Microsecond, 0)
}

// fireTimers fires all timers that are due.
func (l *eventLoop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due := l.timers[0]
		l.timers = l.timers[1:]
		if due.tag == coordinatorTimer {
			l.ownership.coordinatorTick(l.now)
			continue
		}
		l.decisions.TimerFired(due.tag)
	}
}
