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

// newTestLogger returns a rate-limited logger and the buffer that it writes to.
func newTestLogger(limits *limits) (*slog.Logger, *logBuffer) {
	output := newLogBuffer()
	return newRateLimitedLogger(NewLogger(output), limits), output
}

func TestLoggerWritesTimeLevelEventAndKeys(t *testing.T) {
	log, output := newTestLogger(defaultLimits())
	log.Info("ready", "backends", 2, "reason", "the list is known")
	log.Warn("proxy_dropped", "proxy", 3, "error", errSilent)
	text, _ := output.read()
	want := regexp.MustCompile(`^time=\d\d:\d\d:\d\d\.\d{6} level=INFO msg=ready backends=2 reason="the list is known"
time=\S+ level=WARN msg=proxy_dropped proxy=3 error="[^"]+"
$`)
	if !want.MatchString(text) {
		t.Errorf("got %s", text)
	}
}

func TestRateLimitHandler(t *testing.T) {
	count := func(output *logBuffer, text string) int {
		all, _ := output.read()
		return strings.Count(all, text)
	}
	t.Run("a rate-limited event is written once per interval, with the number of suppressed lines", func(t *testing.T) {
		limits := defaultLimits()
		limits.logRepeatInterval = time.Hour
		log, output := newTestLogger(limits)
		for range 5 {
			log.Warn("ack_unknown", "proxy", 1)
		}
		limits.logRepeatInterval = 0
		log.Warn("ack_unknown", "proxy", 1)
		if count(output, "msg=ack_unknown") != 2 || count(output, "suppressed=0") != 1 ||
			count(output, "suppressed=4") != 1 {
			t.Errorf("want a line with suppressed=0 and a line with suppressed=4, got:\n%s", output.text.String())
		}
	})
	t.Run("other events are never suppressed", func(t *testing.T) {
		log, output := newTestLogger(defaultLimits())
		for range 5 {
			log.Warn("proxy_dropped", "proxy", 3)
		}
		if count(output, "msg=proxy_dropped") != 5 || count(output, "suppressed") != 0 {
			t.Errorf("want 5 lines without suppressed, got:\n%s", output.text.String())
		}
	})
	t.Run("values of the event's key are counted separately, errors by their root cause", func(t *testing.T) {
		log, output := newTestLogger(defaultLimits())
		for proxy := range 3 {
			log.Info("proxy_connected", "zone", "a", "proxy", proxy)
			log.Info("proxy_connected", "zone", "b", "proxy", proxy)
			log.Info("unidentified_closed", "error", fmt.Errorf("after %d bytes: %w", proxy, errUnreadable))
		}
		log.Info("unidentified_closed", "error", errors.New("other"))
		if count(output, "msg=proxy_connected") != 3 || count(output, "msg=unidentified_closed") != 2 {
			t.Errorf("want 3 lines of proxy_connected and 2 of unidentified_closed, got:\n%s", output.text.String())
		}
	})
	t.Run("kinds beyond maxLogKinds are counted as one kind", func(t *testing.T) {
		limits := defaultLimits()
		limits.maxLogKinds = 2
		log, output := newTestLogger(limits)
		for proxy := range 100 {
			log.Info("proxy_connected", "proxy", proxy)
		}
		if count(output, "msg=proxy_connected") != 3 {
			t.Errorf("want 3 lines, got:\n%s", output.text.String())
		}
	})
	t.Run("a derived logger shares its counts with the original", func(t *testing.T) {
		log, output := newTestLogger(defaultLimits())
		log.Warn("accept_failed")
		log.With("name", "n0").Warn("accept_failed")
		log.WithGroup("server").Warn("accept_failed")
		if count(output, "msg=accept_failed") != 1 {
			t.Errorf("want 1 line, got:\n%s", output.text.String())
		}
	})
}

// logCall matches a log call in the source, and captures its event.
var logCall = regexp.MustCompile(`[lL]og\.(?:Debug|Info|Warn|Error|Log)\((?:context\.Background\(\), level, )?"([^"]+)"`)

// TestOnCallPageNamesEveryLogEvent checks that docs/oncall.md names each event that the controller
// logs, and that events are in snake_case.
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
				t.Errorf("%s: docs/oncall.md lacks msg=%s", file, event)
			}
		}
	}
	if len(logged) < 40 {
		t.Errorf("found %d events in the source, want at least 40", len(logged))
	}
	for event := range rateLimitedEvents {
		if !logged[event] {
			t.Errorf("rate-limited event %q is never logged", event)
		}
	}
}
