package scale

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheelrill/distribution"
)

// propagation records how long subscribers take to apply changes, and collects violations.
type propagation struct {
	content *content

	mutex sync.Mutex // guards all fields that follow in the struct
	// Times in µs from the acceptance of a change until a subscriber applied it. Changes that a
	// subscriber missed while it was unreachable are in catchUpLatency instead.
	latency *hdrhistogram.Histogram
	// Times in µs from the moment that a subscriber was reachable again until it applied a change
	// that it had missed.
	catchUpLatency *hdrhistogram.Histogram
	violations     []string
}

// maxViolations is the largest number of violations that are stored.
const maxViolations = 20

func newPropagation(content *content) *propagation {
	return &propagation{content: content, latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), histogramDigits),
		catchUpLatency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), histogramDigits)}
}

// reset clears the recorded latencies. The violations remain.
func (p *propagation) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.latency.Reset()
	p.catchUpLatency.Reset()
}

// addViolation stores a violation, unless maxViolations are stored already.
func (p *propagation) addViolation(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.violations) < maxViolations {
		p.violations = append(p.violations, fmt.Sprintf(format, args...))
	}
}

// applied records that a subscriber has applied a change. appliedRevision is the revision that the
// subscriber had before. The subscriber has been reachable since reachableSince: if the change was
// accepted earlier, its latency counts from reachableSince.
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
	// RecordValue cannot fail: the range of the histogram is an hour, and every run is shorter.
	_ = histogram.RecordValue(max(elapsed.Microseconds(), 1))
}

// seconds returns a quantile of a histogram in seconds, or 0 if the histogram is empty.
func (p *propagation) seconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if histogram.TotalCount() == 0 {
		return 0
	}
	return (time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond).Seconds()
}
