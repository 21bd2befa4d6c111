package controller

import (
	"context"
	"regexp"
	"testing"
	"time"
)

// serves runs a controller, and ends it with the story, which must take well under 0.7 s.
func serves(t *testing.T, discovery, known string, change func(*limits)) (address string, said *diary) {
	t.Helper()
	_, address, said = runs(t, discovery, known, change)
	return address, said
}

func runs(t *testing.T, discovery, known string, change func(*limits)) (c *Controller, address string, said *diary) {
	t.Helper()
	return runsWith(t, configuration(discovery, known), change)
}

func runsWith(t *testing.T, configuration []byte, change func(*limits)) (c *Controller, address string, said *diary) {
	t.Helper()
	said = newDiary()
	c, err := New(Identity{}, configuration, NewLogger(said))
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
				t.Errorf("ended with %v", err)
			}
		case <-time.After(600 * time.Millisecond):
			t.Error("did not end in time")
		}
	})
	said.waits(t, "msg=serving", 1)
	text, _ := said.read()
	return c, regexp.MustCompile(`msg=serving .* listen=(\S+)`).FindStringSubmatch(text)[1], said
}
