package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPace guards against one connection that is read without a pause while others wait for the
// processor, and against a burst of reports that is read late.
func TestPace(t *testing.T) {
	for name, test := range map[string]struct {
		messages, size int
		least, most    time.Duration
	}{
		"a burst of reports":       {2000, 200, 0, 0},
		"small messages all along": {32_000, 200, time.Second - burstTime - paceInterval, time.Second},
		"large messages all along": {64, 1 << 20, 4*time.Second - burstTime - paceInterval, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p pace
				began := time.Now()
				for range test.messages {
					p.add(test.size)
				}
				if took := time.Since(began); took < test.least || took > test.most {
					t.Errorf("%d messages of %d bytes took %v, want %v to %v", test.messages, test.size, took, test.least, test.most)
				}
			})
		})
	}
	t.Run("a connection that was quiet may send a burst again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var p pace
			for range 10_000 {
				p.add(200)
			}
			time.Sleep(2 * burstTime)
			began := time.Now()
			for range 2000 {
				p.add(200)
			}
			if took := time.Since(began); took != 0 {
				t.Errorf("the burst took %v, want no delay", took)
			}
		})
	})
}
