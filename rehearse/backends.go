package rehearse

import (
	"time"

	"wheelrill/fake"
)

const (
	drainTime              = 6 * time.Second // time from the start of a backend's drain until a new process replaces it
	hangTime               = 8 * time.Second
	hangPollInterval       = 50 * time.Millisecond
	abandonedUseDivisor    = 10 // a backend counts as abandoned once at most one proxy in ten uses it
	minUndisturbedBackends = 2  // hangs and replacements need this many undisturbed backends, so at least one still serves
)

// pickUndisturbedBackend returns a random backend that is warm and neither hangs nor is being
// replaced. It returns nil if there are fewer than minUndisturbedBackends.
func (r *run) pickUndisturbedBackend() *fake.Backend {
	var undisturbed []*fake.Backend
	for _, b := range r.fleet.Backends {
		if !r.disturbedBackends[b] && b.Warm() {
			undisturbed = append(undisturbed, b)
		}
	}
	if len(undisturbed) < minUndisturbedBackends {
		return nil
	}
	return undisturbed[r.random.IntN(len(undisturbed))]
}

// replaceBackend drains a backend and replaces it by a new process, which is cold at first.
func (r *run) replaceBackend() {
	b := r.pickUndisturbedBackend()
	if b == nil {
		return
	}
	r.disturbedBackends[b] = true
	r.report.BackendsReplaced++
	r.log("%s is draining", b.ID)
	r.fleet.Discovery.Publish(fake.StateDraining, b)
	r.scheduleAfter(drainTime, func() error {
		r.log("%s is up again as a new process", b.ID)
		b.Restart(warmupTime)
		r.fleet.Discovery.Publish(fake.StateUp, b)
		r.scheduleAfter(warmupTime, func() error {
			// Publishes StateUp again: the checker records that a backend is warm only at a publication.
			r.fleet.Discovery.Publish(fake.StateUp, b)
			delete(r.disturbedBackends, b)
			return nil
		})
		return nil
	})
}

// hang is the state of a hang in progress.
type hang struct {
	backend  *fake.Backend
	began    time.Time
	detected bool // nearly all proxies have abandoned the backend
}

// hangBackend makes a backend hang for hangTime, and records how long it takes until nearly all
// proxies have abandoned it.
func (r *run) hangBackend() {
	b := r.pickUndisturbedBackend()
	if b == nil {
		return
	}
	h := &hang{backend: b, began: time.Now()}
	r.disturbedBackends[b] = true
	b.SetMode(fake.ModeHang)
	r.report.Hangs++
	r.log("%s hangs", b.ID)
	r.pollHangAfter(0, h)
}

// pollHangAfter schedules a call of pollHang after the given wait.
func (r *run) pollHangAfter(wait time.Duration, h *hang) {
	r.scheduleAfter(wait, func() error {
		r.pollHang(h)
		return nil
	})
}

// pollHang checks whether nearly all proxies have abandoned the backend, and ends the hang after
// hangTime. If the backend has not been abandoned by then, the whole duration of the hang is
// recorded as its detection time.
func (r *run) pollHang(h *hang) {
	elapsed := time.Since(h.began)
	abandoned := r.fleet.ProxiesUsing(h.backend.ID) <= r.Proxies/abandonedUseDivisor
	switch {
	case abandoned && !h.detected:
		h.detected = true
		r.hangDetections = append(r.hangDetections, elapsed)
		r.log("nearly all proxies have abandoned %s", h.backend.ID)
	case elapsed >= hangTime:
		if !h.detected {
			r.hangDetections = append(r.hangDetections, elapsed)
		}
		h.backend.SetMode(fake.ModeHealthy)
		delete(r.disturbedBackends, h.backend)
		return
	}
	r.pollHangAfter(hangPollInterval, h)
}
