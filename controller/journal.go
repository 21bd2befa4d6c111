package controller

import (
	"log"
	"sync"
	"time"
)

// journal writes lines of key=value text. Lines that strangers could call forth go through seldom.
type journal struct {
	to *log.Logger

	mutex sync.Mutex
	held  map[string]*repeat
}

type repeat struct {
	since time.Time
	times int
}

const (
	quietFor  = 10 * time.Second // a line that repeats is held back for so long
	mostHeld  = 256              // different lines that are counted
	anyOthers = "others"
)

func newJournal(to *log.Logger) *journal { return &journal{to: to, held: map[string]*repeat{}} }

func (j *journal) say(format string, args ...any) { j.to.Printf(format, args...) }

// seldom writes a line of a sort unless one was written lately; it says then how many were held back.
func (j *journal) seldom(sort, format string, args ...any) {
	j.mutex.Lock()
	if j.held[sort] == nil && len(j.held) >= mostHeld {
		sort = anyOthers
	}
	if j.held[sort] == nil {
		j.held[sort] = &repeat{}
	}
	r := j.held[sort]
	r.times++
	if time.Since(r.since) < quietFor {
		j.mutex.Unlock()
		return
	}
	held := r.times - 1
	*r = repeat{since: time.Now()}
	j.mutex.Unlock()
	j.to.Printf(format+" held_back=%d", append(args, held)...)
}
