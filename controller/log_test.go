package controller

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// newTestLogger gives a rate-limited logger and what it writes.
func newTestLogger(limits *limits) (*slog.Logger, *logBuffer) {
	written := newLogBuffer()
	return newRateLimitedLogger(NewLogger(written), limits), written
}

func TestLoggerWritesTimeLevelEventAndKeys(t *testing.T) {
	log, written := newTestLogger(defaultLimits())
	log.Info("ready", "backends", 2, "reason", "the list is known")
	log.Warn("proxy_dropped", "proxy", 3, "error", errSilent)
	text, _ := written.read()
	want := regexp.MustCompile(`^time=\d\d:\d\d:\d\d\.\d{6} level=INFO msg=ready backends=2 reason="the list is known"
time=\S+ level=WARN msg=proxy_dropped proxy=3 error="[^"]+"
$`)
	if !want.MatchString(text) {
		t.Errorf("got %s", text)
	}
}

func TestRateLimitHandler(t *testing.T) {
	count := func(written *logBuffer, text string) int {
		all, _ := written.read()
		return strings.Count(all, text)
	}
	t.Run("a rate-limited event is written once in the interval, and then says how many were left out", func(t *testing.T) {
		limits := defaultLimits()
		limits.logRepeatInterval = time.Hour
		log, written := newTestLogger(limits)
		for range 5 {
			log.Warn("report_dropped", "inbox_size", 1)
		}
		limits.logRepeatInterval = 0
		log.Warn("report_dropped", "inbox_size", 1)
		if count(written, "msg=report_dropped") != 2 || count(written, "suppressed=0") != 1 || count(written, "suppressed=4") != 1 {
			t.Error(written.read())
		}
	})
	t.Run("other events are never left out", func(t *testing.T) {
		log, written := newTestLogger(defaultLimits())
		for range 5 {
			log.Warn("proxy_dropped", "proxy", 3)
		}
		if count(written, "msg=proxy_dropped") != 5 || count(written, "suppressed") != 0 {
			t.Error(written.read())
		}
	})
	t.Run("values of the event's key count apart, errors by their root cause", func(t *testing.T) {
		log, written := newTestLogger(defaultLimits())
		for proxy := range 3 {
			log.Info("proxy_connected", "zone", "a", "proxy", proxy)
			log.Info("proxy_connected", "zone", "b", "proxy", proxy)
			log.Info("unidentified_closed", "error", fmt.Errorf("after %d bytes: %w", proxy, errUnreadable))
		}
		log.Info("unidentified_closed", "error", errors.New("other"))
		if count(written, "msg=proxy_connected") != 3 || count(written, "msg=unidentified_closed") != 2 {
			t.Error(written.read())
		}
	})
	t.Run("kinds beyond the bound count as one", func(t *testing.T) {
		limits := defaultLimits()
		limits.maxLogKinds = 2
		log, written := newTestLogger(limits)
		for proxy := range 100 {
			log.Info("proxy_connected", "proxy", proxy)
		}
		if count(written, "msg=proxy_connected") != 3 {
			t.Error(written.read())
		}
	})
	t.Run("a derived logger counts together with the one it comes from", func(t *testing.T) {
		log, written := newTestLogger(defaultLimits())
		log.Warn("accept_failed")
		log.With("name", "n0").Warn("accept_failed")
		log.WithGroup("server").Warn("accept_failed")
		if count(written, "msg=accept_failed") != 1 {
			t.Error(written.read())
		}
	})
}

// logCall finds the event of a log line in the source.
var logCall = regexp.MustCompile(`[lL]og\.(?:Debug|Info|Warn|Error|Log)\((?:context\.Background\(\), level, )?"([^"]+)"`)

// TestOnCallPageNamesEveryLogEvent has docs/oncall.md name each event that the controller logs, and events be in snake_case.
func TestOnCallPageNamesEveryLogEvent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "oncall.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	logged := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range logCall.FindAllStringSubmatch(string(source), -1) {
			event := call[1]
			logged[event] = true
			if !regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`).MatchString(event) {
				t.Errorf("%s: %q is not in snake_case", file, event)
			}
			if !strings.Contains(string(page), "`msg="+event) {
				t.Errorf("%s: the page lacks msg=%s", file, event)
			}
		}
	}
	if len(logged) < 40 {
		t.Errorf("only %d events were found in the source", len(logged))
	}
	for event := range rateLimitedEvents {
		if !logged[event] {
			t.Errorf("%q is rate limited, and logged nowhere", event)
		}
	}
}
