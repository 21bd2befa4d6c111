package controller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

// timeFormat is how log lines give the time of day, in UTC.
const timeFormat = "15:04:05.000000"

// NewLogger makes a logger that writes lines of key=value text: time (of day, in UTC), level, msg (the event), and the event's
// keys. It may be used by several goroutines at once.
func NewLogger(to io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{ReplaceAttr: formatTime}))
}

// formatTime replaces the time of a record by its time of day.
func formatTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.String(attr.Key, attr.Value.Time().UTC().Format(timeFormat))
	}
	return attr
}

// rateLimitedEvents are those that a peer could cause at will, with the key whose values are counted apart: one line of an
// event and a value is written in limits.logRepeatInterval. Where the key is empty, all lines of the event count together.
var rateLimitedEvents = map[string]string{
	"accept_failed":                "",
	"ack_unknown":                  "",
	"cache_write_failed":           "",
	"connection_closed":            "kind",
	"discovery_failed":             "",
	"distribution_message_refused": "detail",
	"distribution_tree":            "detail",
	"endpoint_skipped":             "reason",
	"endpoint_state_unknown":       "",
	"entry_unusable":               "",
	"message_skipped":              "reason",
	"process_stalled":              "",
	"proxy_connected":              "proxy",
	"proxy_disconnected":           "proxy",
	"proxy_granted":                "",
	"report_dropped":               "",
	"report_for_unknown_backend":   "",
	"subscriber_refused":           "",
	"subscription_refused":         "",
	"unidentified_closed":          "error",
}

// suppressedKey is the key of how many lines of the same kind were left out since the last one.
const suppressedKey = "suppressed"

// rateLimitHandler passes records on to another handler, but leaves out rate-limited events that repeat too soon. It may be used
// by several goroutines at once.
type rateLimitHandler struct {
	slog.Handler
	limits  *limits       // logRepeatInterval, maxLogKinds
	repeats *repeatCounts // shared with the handlers derived from this one
}

// repeatCounts counts the lines of each kind; a kind is an event with the value of its key.
type repeatCounts struct {
	mutex  sync.Mutex // guards byKind and what it points to
	byKind map[string]*repeatCount
}

// repeatCount is what is known of one kind of line.
type repeatCount struct {
	lastWritten time.Time
	suppressed  int // lines left out since then
}

// newRateLimitedLogger gives a logger that writes through another, with its repeats left out.
func newRateLimitedLogger(to *slog.Logger, limits *limits) *slog.Logger {
	return slog.New(&rateLimitHandler{to.Handler(), limits, &repeatCounts{byKind: map[string]*repeatCount{}}})
}

// Handle implements slog.Handler.
func (h *rateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
	key, limited := rateLimitedEvents[record.Message]
	if !limited {
		return h.Handler.Handle(ctx, record)
	}
	suppressed, write := h.repeats.count(record.Message+" "+attrText(record, key), h.limits)
	if !write {
		return nil
	}
	record = record.Clone()
	record.AddAttrs(slog.Int(suppressedKey, suppressed))
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler; the new handler counts repeats together with this one.
func (h *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{h.Handler.WithAttrs(attrs), h.limits, h.repeats}
}

// WithGroup implements slog.Handler; the new handler counts repeats together with this one.
func (h *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{h.Handler.WithGroup(name), h.limits, h.repeats}
}

// count takes in a line of a kind. It tells whether the line is to be written, and how many were left out before it. Kinds beyond
// limits.maxLogKinds count as one, so that peers cannot have the table grow.
func (r *repeatCounts) count(kind string, limits *limits) (suppressed int, write bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byKind[kind] == nil && len(r.byKind) >= limits.maxLogKinds {
		kind = ""
	}
	if r.byKind[kind] == nil {
		r.byKind[kind] = &repeatCount{}
	}
	known := r.byKind[kind]
	if time.Since(known.lastWritten) < limits.logRepeatInterval {
		known.suppressed++
		return 0, false
	}
	suppressed = known.suppressed
	*known = repeatCount{lastWritten: time.Now()}
	return suppressed, true
}

// attrText gives the value of a record's key as text. Of an error it is the root cause, as what wraps it may hold numbers that
// differ each time.
func attrText(record slog.Record, key string) (text string) {
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key != key {
			return true
		}
		if err, ok := attr.Value.Any().(error); ok {
			text = rootCause(err)
		} else {
			text = attr.Value.String()
		}
		return false
	})
	return text
}

// rootCause is the text of the innermost error that an error wraps.
func rootCause(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// formatDecimal gives a number with a fixed count of decimal places.
func formatDecimal(x float64, places int) string { return strconv.FormatFloat(x, 'f', places, 64) }
