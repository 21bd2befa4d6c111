package controller

import (
	"context"
	"regexp"
	"testing"
	"time"
)

// serve runs a controller until the end of the test. Its shutdown has to take well under 0.7 s, so
// the test fails after 0.6 s.
func serve(t *testing.T, discovery, known string, change func(*limits)) (address string, logged *logBuffer) {
	t.Helper()
	_, address, logged = runController(t, discovery, known, change)
	return address, logged
}

func runController(t *testing.T, discovery, known string, change func(*limits)) (c *Controller, address string, logged *logBuffer) {
	t.Helper()
	return runConfiguration(t, configuration(discovery, known), change)
}

func runConfiguration(t *testing.T, configuration []byte, change func(*limits)) (c *Controller, address string, logged *logBuffer) {
	t.Helper()
	logged = newLogBuffer()
	c, err := New(Identity{}, configuration, NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	c.limits.watchWait, c.limits.watchMargin = 50*time.Millisecond, time.Second
	if change != nil {
		change(c.limits)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Serve returned %v, want nil", err)
			}
		case <-time.After(600 * time.Millisecond):
			t.Error("Serve did not return within 0.6 s after the end of its context")
		}
	})
	logged.waitFor(t, "msg=serving", 1)
	text, _ := logged.read()
	return c, regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1], logged
}
