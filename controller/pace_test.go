package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPace guards against one connection that is read without a pause while others wait for the
// processor.
func TestPace(t *testing.T) {
	const tick = 4 * time.Millisecond
	for name, test := range map[string]struct {
		messages, size int
		want           time.Duration
	}{
		"few small messages":      {messagesPerTick - 1, 200, 0},
		"many small messages":     {10 * messagesPerTick, 200, 10 * tick},
		"messages of some KiB":    {16, bytesPerTick / 4, 4 * tick},
		"a message of many ticks": {1, 32 * bytesPerTick, 32 * tick},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := pace{limits: &limits{tick: tick}, since: time.Now()}
				began := time.Now()
				for range test.messages {
					p.add(test.size)
				}
				if took := time.Since(began); took != test.want {
					t.Errorf("%d messages of %d bytes took %v, want %v", test.messages, test.size, took, test.want)
				}
			})
		})
	}
	t.Run("a connection that was quiet is not delayed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := pace{limits: &limits{tick: tick}, since: time.Now()}
			time.Sleep(10 * tick)
			began := time.Now()
			for range messagesPerTick {
				p.add(200)
			}
			if took := time.Since(began); took != 0 {
				t.Errorf("the messages took %v, want no delay", took)
			}
		})
	})
}
