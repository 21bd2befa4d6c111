package scale

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheelrill/distribution"
)

// propagation notes when changes come into force at subscribers, and what must not happen on the way.
type propagation struct {
	content *content

	mutex          sync.Mutex              // of all below
	latency        *hdrhistogram.Histogram // µs from acceptance, of each change at each subscriber that was reachable all the time
	catchUpLatency *hdrhistogram.Histogram // µs from being reachable again, of what a subscriber had missed
	violations     []string
}

// maxViolations is how many violations are kept.
const maxViolations = 20

func newPropagation(content *content) *propagation {
	return &propagation{content: content, latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), histogramDigits),
		catchUpLatency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), histogramDigits)}
}

// reset begins anew to measure; violations stay.
func (p *propagation) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.latency.Reset()
	p.catchUpLatency.Reset()
}

// addViolation notes what must not happen.
func (p *propagation) addViolation(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.violations) < maxViolations {
		p.violations = append(p.violations, fmt.Sprintf(format, args...))
	}
}

// applied notes that a subscriber, which acted by a revision before, acts by a change. Reachable is since when it could be
// reached: what it missed before counts from then on.
func (p *propagation) applied(change distribution.Change, appliedRevision uint64, reachableSince time.Time) {
	now := time.Now()
	newest := time.Time{}
	for _, e := range change.Entries {
		if e.Revision <= appliedRevision {
			continue
		}
		if at := p.content.acceptedAt(e.Revision, e.AcceptedAt); at.After(newest) {
			newest = at
		}
	}
	if newest.IsZero() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	elapsed := now.Sub(newest)
	histogram := p.latency
	if reachableSince.After(newest) {
		elapsed = now.Sub(reachableSince)
		histogram = p.catchUpLatency
	}
	_ = histogram.RecordValue(max(elapsed.Microseconds(), 1)) // an hour is within its range, and no run lasts as long
}

// seconds reads a quantile of a histogram.
func (p *propagation) seconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if histogram.TotalCount() == 0 {
		return 0
	}
	return (time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond).Seconds()
}
