package controller

import (
	"log"
	"sync"
	"time"
)

// journal writes lines of key=value text. Lines that strangers could call forth go through seldom.
type journal struct {
	to    *log.Logger
	quiet time.Duration
	sorts int

	mutex sync.Mutex
	held  map[string]*repeat
}

type repeat struct {
	since time.Time
	times int
}

func newJournal(to *log.Logger, quiet time.Duration, sorts int) *journal {
	return &journal{to: to, quiet: quiet, sorts: sorts, held: map[string]*repeat{}}
}

func (j *journal) say(format string, args ...any) { j.to.Printf(format, args...) }

// seldom writes a line of a sort unless one was written lately; it says then how many were held back.
func (j *journal) seldom(sort, format string, args ...any) {
	j.mutex.Lock()
	if j.held[sort] == nil && len(j.held) >= j.sorts {
		sort = ""
	}
	if j.held[sort] == nil {
		j.held[sort] = &repeat{}
	}
	r := j.held[sort]
	r.times++
	if time.Since(r.since) < j.quiet {
		j.mutex.Unlock()
		return
	}
	held := r.times - 1
	*r = repeat{since: time.Now()}
	j.mutex.Unlock()
	j.to.Printf(format+" held_back=%d", append(args, held)...)
}
