package controller

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

// NewLogger makes a log as staff read it: lines of key=value text, the time in UTC first, then the event.
func NewLogger(to io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		switch {
		case len(groups) > 0:
		case a.Key == slog.TimeKey:
			return slog.String(a.Key, a.Value.Time().UTC().Format("15:04:05.000000"))
		case a.Key == slog.LevelKey && a.Value.Any() == slog.LevelInfo:
			return slog.Attr{}
		case a.Key == slog.MessageKey:
			a.Key = "event"
		}
		return a
	}}))
}

// journal writes events. Lines that any client could cause go through seldom.
type journal struct {
	to          *slog.Logger
	repeatEvery time.Duration // how often a kind of line is written, at most
	maxKinds    int           // whose repeats are counted; all others count as one

	mutex   sync.Mutex
	repeats map[string]*repeat
}

type repeat struct {
	since time.Time // when the last was written
	times int       // since then
}

func newJournal(to *slog.Logger, repeatEvery time.Duration, maxKinds int) *journal {
	return &journal{to: to, repeatEvery: repeatEvery, maxKinds: maxKinds, repeats: map[string]*repeat{}}
}

// say writes an event with its keys and values.
func (j *journal) say(event string, pairs ...any) { j.to.Info(event, pairs...) }

// seldom writes an event of a kind unless one was written lately; it says then how many were held back.
func (j *journal) seldom(kind, event string, pairs ...any) {
	j.mutex.Lock()
	if j.repeats[kind] == nil && len(j.repeats) >= j.maxKinds {
		kind = ""
	}
	if j.repeats[kind] == nil {
		j.repeats[kind] = &repeat{}
	}
	r := j.repeats[kind]
	r.times++
	if time.Since(r.since) < j.repeatEvery {
		j.mutex.Unlock()
		return
	}
	held := r.times - 1
	*r = repeat{since: time.Now()}
	j.mutex.Unlock()
	j.to.Info(event, append(pairs, "held_back", held)...)
}

// figured is a figure with so many places as a line needs.
func figured(x float64, places int) string { return strconv.FormatFloat(x, 'f', places, 64) }
