package controller

import (
	"slices"
	"time"
)

// microseconds is a time as the decisions count it: Unix time, or a span.
type microseconds = int64

// microsPerSecond converts seconds to microseconds.
const microsPerSecond microseconds = 1_000_000

// inSeconds converts a span to seconds.
func inSeconds(span microseconds) float64 { return float64(span) / float64(microsPerSecond) }

// timer is one that the decisions or the coordinator of ownership set. The event loop owns it.
type timer struct {
	at  microseconds // when it is due
	tag uint64
}

// newClock gives a clock of Unix time. It goes on with the monotonic clock from now on, so that it never steps.
func newClock() func() microseconds {
	began := time.Now()
	return func() microseconds { return began.UnixMicro() + time.Since(began).Microseconds() }
}

// Now implements balancer.Host: the clock time of this iteration.
func (l *eventLoop) Now() microseconds { return l.now }

// SetTimer implements balancer.Host: TimerFired is called with the tag after a wait, and in the next iteration at the earliest.
// Timers that are due at one time fire in the order in which they were set.
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

// untilNextTimer is how long the loop may wait for an event.
func (l *eventLoop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return l.limits.logRepeatInterval // any time will do
	}
	return max(time.Duration(l.timers[0].at-l.clock())*time.Microsecond, 0)
}

// fireTimers fires the timers that are due.
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
