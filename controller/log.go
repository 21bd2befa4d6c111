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

// timeFormat is the format of the time of day, in UTC, in log lines.
const timeFormat = "15:04:05.000000"

// NewLogger returns a logger that writes lines of key=value text: time (the time of day, in UTC),
// level, msg (the event), and the keys of the event. It is safe for concurrent use.
func NewLogger(to io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{ReplaceAttr: formatTime}))
}

// formatTime replaces the timestamp of a log record by its time of day in UTC.
func formatTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.String(attr.Key, attr.Value.Time().UTC().Format(timeFormat))
	}
	return attr
}

// rateLimitedEvents maps each event that a peer can trigger arbitrarily often to the key that
// distinguishes its lines. At most one line per event and value of this key is written per
// limits.logRepeatInterval. If the key is empty, all lines of the event are counted together.
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
	"report_for_unknown_backend":   "",
	"subscriber_refused":           "",
	"subscription_refused":         "",
	"unidentified_closed":          "error",
}

// suppressedKey is the log key of the number of lines of the same kind that were suppressed since
// the last written line of this kind.
const suppressedKey = "suppressed"

// rateLimitHandler is a slog.Handler that forwards records to another handler. It suppresses a
// rate-limited event that repeats within limits.logRepeatInterval. It is safe for concurrent use.
type rateLimitHandler struct {
	slog.Handler
	limits  *limits       // the handler uses logRepeatInterval and maxLogKinds
	repeats *repeatCounts // counts that this handler shares with all handlers derived from it
}

// repeatCounts counts the suppressed lines by kind. A kind is an event together with the value of
// the key that rateLimitedEvents assigns to it.
type repeatCounts struct {
	mutex  sync.Mutex // guards byKind and the counts that it points to
	byKind map[string]*repeatCount
}

// repeatCount counts the suppressed lines of one kind.
type repeatCount struct {
	lastWritten time.Time
	suppressed  int // number of lines suppressed since lastWritten
}

// newRateLimitedLogger returns a logger that writes through another one, and suppresses repeated
// rate-limited events.
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

// count registers a line of a kind. It reports whether the line has to be written, and returns the
// number of lines suppressed before it. Kinds beyond limits.maxLogKinds are counted together as one
// kind, so that peers cannot make the map grow without bound.
func (r *repeatCounts) count(kind string, limits *limits) (suppressed int, write bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byKind[kind] == nil && len(r.byKind) >= limits.maxLogKinds {
		kind = ""
	}
	if r.byKind[kind] == nil {
		r.byKind[kind] = &repeatCount{}
	}
	repeat := r.byKind[kind]
	if time.Since(repeat.lastWritten) < limits.logRepeatInterval {
		repeat.suppressed++
		return 0, false
	}
	suppressed = repeat.suppressed
	*repeat = repeatCount{lastWritten: time.Now()}
	return suppressed, true
}

// attrText returns the value of a key of a log record as text. For an error it returns the text of
// the root cause, as the wrapping errors may contain numbers that differ each time.
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

// rootCause returns the text of the innermost wrapped error.
func rootCause(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// formatDecimal formats a number with a fixed number of decimal places.
func formatDecimal(x float64, places int) string { return strconv.FormatFloat(x, 'f', places, 64) }
