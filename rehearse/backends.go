package rehearse

import (
	"time"

	"wheelrill/fake"
)

const (
	drainTime         = 6 * time.Second // of a backend, which is back then as a new process
	hangTime          = 8 * time.Second
	hangPollInterval  = 50 * time.Millisecond
	leftWhenOneIn     = 10 // a backend counts as left once no more than one proxy in ten uses it
	minSteadyBackends = 2  // of which one is left to serve
)

// pickSteadyBackend draws a backend with which nothing is going on; nil if there are too few.
func (r *run) pickSteadyBackend() *fake.Backend {
	var steady []*fake.Backend
	for _, b := range r.fleet.Backends {
		if !r.busyBackends[b] && b.Warm() {
			steady = append(steady, b)
		}
	}
	if len(steady) < minSteadyBackends {
		return nil
	}
	return steady[r.random.IntN(len(steady))]
}

// replaceBackend has a backend drain, and come back as a new process, which is cold at first.
func (r *run) replaceBackend() {
	b := r.pickSteadyBackend()
	if b == nil {
		return
	}
	r.busyBackends[b] = true
	r.report.BackendsReplaced++
	r.log("%s drains", b.ID)
	r.fleet.Discovery.Publish(fake.StateDraining, b)
	r.after(drainTime, func() error {
		r.log("%s is back", b.ID)
		b.Restart(warmupTime)
		r.fleet.Discovery.Publish(fake.StateUp, b)
		r.after(warmupTime, func() error {
			r.fleet.Discovery.Publish(fake.StateUp, b) // as it was: the checker has it as warm from now on
			delete(r.busyBackends, b)
			return nil
		})
		return nil
	})
}

// hang is one of a backend, while it lasts.
type hang struct {
	backend  *fake.Backend
	began    time.Time
	detected bool // nearly all proxies have left it
}

// hangBackend has a backend take everything and answer nothing for a while, and notes when nearly all proxies had left
// it.
func (r *run) hangBackend() {
	b := r.pickSteadyBackend()
	if b == nil {
		return
	}
	h := &hang{backend: b, began: time.Now()}
	r.busyBackends[b] = true
	b.SetMode(fake.ModeHang)
	r.report.Hangs++
	r.log("%s hangs", b.ID)
	r.pollHangAfter(0, h)
}

func (r *run) pollHangAfter(wait time.Duration, h *hang) {
	r.after(wait, func() error {
		r.pollHang(h)
		return nil
	})
}

// pollHang looks whether the backend is left, and ends the hang once it has lasted long enough.
func (r *run) pollHang(h *hang) {
	since := time.Since(h.began)
	left := r.fleet.ProxiesUsing(h.backend.ID) <= r.Proxies/leftWhenOneIn
	switch {
	case left && !h.detected:
		h.detected = true
		r.hangDetections = append(r.hangDetections, since)
		r.log("%s is left", h.backend.ID)
	case since >= hangTime:
		if !h.detected {
			r.hangDetections = append(r.hangDetections, since)
		}
		h.backend.SetMode(fake.ModeHealthy)
		delete(r.busyBackends, h.backend)
		return
	}
	r.pollHangAfter(hangPollInterval, h)
}
