package scale

import (
	"strings"
	"testing"
	"time"

	"wheelrill/scale/results"
)

// smallSizes are sizes that a test can measure in a short time.
var smallSizes = []int{10, 20, 40, 80}

// measureSmall runs a measurement at small sizes, saves the run, and loads the saved run, from
// which the report is written. It fails the test if there are violations, or if the report lacks a
// metric.
func measureSmall(t *testing.T, m Measurement, sizes []int, span time.Duration) *results.Run {
	t.Helper()
	options := Options{Duration: span, Seed: 1, Folder: t.TempDir(), Voters: defaultVoters}
	r, err := MeasureSizes(t.Context(), m, sizes, options)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if _, err := r.Save(folder); err != nil {
		t.Fatal(err)
	}
	loaded, err := results.Load(folder)
	if err != nil || len(loaded) != 1 || len(loaded[0].Samples) != len(sizes) {
		t.Fatalf("loaded runs %+v, error %v; want one run with %d samples", loaded, err, len(sizes))
	}
	text := loaded[0].Markdown()
	for _, metric := range m.Describe().Metrics {
		if !strings.Contains(text, "| "+metric.About+", ") {
			t.Errorf("the report has no row of metric %s:\n%s", metric.Name, text)
		}
	}
	for _, s := range loaded[0].Samples {
		for _, violation := range s.Violations {
			t.Errorf("violation at size %d: %s", s.Size, violation)
		}
	}
	return loaded[0]
}

// checkGrowsLinearly fails the test unless the fit of the metric over the sizes is a line, or a
// power with an exponent of 0.95 to 1.05, and has a relative error of at most 0.05.
func checkGrowsLinearly(t *testing.T, r *results.Run, metric string) {
	t.Helper()
	fit, ok := results.FitOver(r.Samples, metric, nil)
	if !ok || fit.Form == results.FormPower && (fit.Exponent < 0.95 || fit.Exponent > 1.05) || fit.Residual > 0.05 {
		t.Errorf("metric %s: fitted %v, %+v; want a line or an exponent of 0.95 to 1.05, and a residual of at most 0.05",
			metric, ok, fit)
	}
}

// TestDecisionsAreMeasuredAtEachSize guards against a number of orders that grows faster than the
// number of backends or proxies, which would be the case if the controller sent each change again
// for every backend. Each additional proxy adds exactly one order.
func TestDecisionsAreMeasuredAtEachSize(t *testing.T) {
	t.Parallel()
	checkGrowsLinearly(t, measureSmall(t, decisions{}, smallSizes, time.Second), "orders")
	r := measureSmall(t, decisions{byProxies: true}, smallSizes[1:], time.Millisecond)
	for i, s := range r.Samples[1:] {
		before, _ := r.Samples[i].Get("orders")
		if orders, _ := s.Get("orders"); orders != before+float64(s.Size-r.Samples[i].Size) || s.Partial == "" {
			t.Errorf("%d more proxies add %v orders, partial %q; want an order per proxy, and a partial sample",
				s.Size-r.Samples[i].Size, orders-before, s.Partial)
		}
	}
}

// TestOrdersPerBackendProxyAndChangeAreConstant guards against a number of orders that grows faster
// than the number of backends, proxies and changes. At any size, the controller publishes one table
// entry for each backend at the start, assigns one table to each proxy, and sends a few orders for
// each change.
func TestOrdersPerBackendProxyAndChangeAreConstant(t *testing.T) {
	// When a backend is drained and made ready again, its entry is removed from the table, added
	// with a part of its weight, and then published with its full weight.
	const entryChanges, withdrawals = 3, 2
	for _, size := range []int{20, 200} {
		l := decisionRun{backends: size, proxies: 2 * size, changes: 4, ticks: 2}
		orders := l.execute().orders
		if orders.entries < size || orders.entries > size+l.changes*entryChanges {
			t.Errorf("%d backends, %d changes: %d published entries; want %d to %d",
				size, l.changes, orders.entries, size, size+l.changes*entryChanges)
		}
		if orders.assignments != l.proxies || orders.withdrawals > l.changes*withdrawals || orders.limits != 0 {
			t.Errorf("%d proxies: orders %+v; want %d assignments, at most %d withdrawals, and no limits",
				l.proxies, orders, l.proxies, l.changes*withdrawals)
		}
		if orders.acks > 1+l.changes*(entryChanges+withdrawals) {
			t.Errorf("%d proxies: %d acks requested; want at most %d",
				l.proxies, orders.acks, 1+l.changes*(entryChanges+withdrawals))
		}
	}
}

// TestAddedTimeRecordsBothPicks guards against times that are missing, or that are recorded for the
// wrong pick: both picks of a request take longer than the first one alone.
func TestAddedTimeRecordsBothPicks(t *testing.T) {
	r := measureSmall(t, addedTime{}, smallSizes, 50*time.Millisecond)
	for _, s := range r.Samples {
		bothMedian, _ := s.Get("retried_half")
		bothP99, _ := s.Get("retried_p99")
		firstMedian, _ := s.Get("draw_half")
		requests, _ := s.Get("requests")
		if firstMedian <= 0 || bothMedian <= firstMedian || bothP99 < bothMedian || requests < minPicks {
			t.Errorf("table of %d entries: median of the first pick %v ms, of both %v ms, 99th percentile of both %v ms, "+
				"%v requests; want increasing times, and at least %d requests",
				s.Size, firstMedian, bothMedian, bothP99, requests, minPicks)
		}
	}
}

// TestRepeatsStopAfterTheSpan guards against a measurement that begins further repeats after its
// span, or that does not report that it made fewer repeats than maxRepeats.
func TestRepeatsStopAfterTheSpan(t *testing.T) {
	done := 0
	do := func() error { done++; return nil }
	if partial, err := runRepeats(t.Context(), time.Hour, do); partial != "" || err != nil || done != 3 {
		t.Errorf("%d repeats within an hour, partial %q, error %v; want 3 and no partial sample", done, partial, err)
	}
	done = 0
	if partial, err := runRepeats(t.Context(), 0, do); partial == "" || err != nil || done != 1 {
		t.Errorf("%d repeats within a span of 0, partial %q, error %v; want 1 and a partial sample", done, partial, err)
	}
	if got := median([]float64{9, 1, 2, 4}); got != 3 {
		t.Errorf("the median of 9, 1, 2 and 4 is %v; want 3", got)
	}
}
