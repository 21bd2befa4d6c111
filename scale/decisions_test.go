package scale

import (
	"strings"
	"testing"
	"time"

	"wheelrill/scale/results"
)

// smallSizes are sizes that a test bears.
var smallSizes = []int{10, 20, 40, 80}

// measureSmall runs a measurement over sizes, keeps it, and reads it back as the report does.
func measureSmall(t *testing.T, m Measurement, sizes []int, span time.Duration) *results.Run {
	t.Helper()
	r, err := MeasureSizes(t.Context(), m, sizes, Options{Duration: span, Seed: 1, Folder: t.TempDir(), Voters: defaultVoters})
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if _, err := r.Save(folder); err != nil {
		t.Fatal(err)
	}
	kept, err := results.Load(folder)
	if err != nil || len(kept) != 1 || len(kept[0].Samples) != len(sizes) {
		t.Fatalf("kept %+v, %v", kept, err)
	}
	text := kept[0].Markdown()
	for _, metric := range m.Describe().Metrics {
		if !strings.Contains(text, "| "+metric.About+", ") {
			t.Errorf("the report lacks %s:\n%s", metric.Name, text)
		}
	}
	for _, s := range kept[0].Samples {
		for _, violations := range s.Violations {
			t.Errorf("at %d: %s", s.Size, violations)
		}
	}
	return kept[0]
}

// checkGrowsLinearly fails unless a metric's fit is a line, or a power of one.
func checkGrowsLinearly(t *testing.T, r *results.Run, metric string) {
	t.Helper()
	fit, ok := results.FitOver(r.Samples, metric, nil)
	if !ok || fit.Form == results.FormPower && (fit.Exponent < 0.95 || fit.Exponent > 1.05) || fit.Residual > 0.05 {
		t.Errorf("%s: %v, %+v", metric, ok, fit)
	}
}

// TestDecisionsAreMeasuredAtEachSize has what orders cost grow no faster than backends and proxies do.
func TestDecisionsAreMeasuredAtEachSize(t *testing.T) {
	t.Parallel()
	checkGrowsLinearly(t, measureSmall(t, decisions{}, smallSizes, time.Second), "orders")
	r := measureSmall(t, decisions{byProxies: true}, smallSizes[1:], time.Millisecond)
	for i, s := range r.Samples[1:] {
		before, _ := r.Samples[i].Get("orders")
		if orders, _ := s.Get("orders"); orders != before+float64(s.Size-r.Samples[i].Size) || s.Partial == "" {
			t.Errorf("%d proxies more cost %v orders more; partial: %q", s.Size-r.Samples[i].Size, orders-before, s.Partial)
		}
	}
}

// TestOrdersOfARunDoNotGrowWithItsSize has a run give each backend one line at the start, each proxy one table, and each change a few orders,
// however many there are.
func TestOrdersOfARunDoNotGrowWithItsSize(t *testing.T) {
	const lineChanges, withdrawals = 3, 2 // of a drain and a return: out, back with a part of its weight, then all of it
	for _, size := range []int{20, 200} {
		l := decisionRun{backends: size, proxies: 2 * size, changes: 4, ticks: 2}
		orders := l.execute().orders
		if orders.entries < size || orders.entries > size+l.changes*lineChanges {
			t.Errorf("%d backends, %d changes: %d lines", size, l.changes, orders.entries)
		}
		if orders.assignments != l.proxies || orders.withdrawals > l.changes*withdrawals || orders.limits != 0 {
			t.Errorf("%d proxies: %+v", l.proxies, orders)
		}
		if orders.acks > 1+l.changes*(lineChanges+withdrawals) {
			t.Errorf("%d proxies: %d marks", l.proxies, orders.acks)
		}
	}
}

// TestAddedTimeCountsEachRequestInAllFourWays has each request of a repeat be counted in all four ways.
func TestAddedTimeCountsEachRequestInAllFourWays(t *testing.T) {
	r := measureSmall(t, addedTime{}, smallSizes, 50*time.Millisecond)
	for _, s := range r.Samples {
		half, _ := s.Get("retried_half")
		most, _ := s.Get("retried_p99")
		one, _ := s.Get("draw_half")
		requests, _ := s.Get("requests")
		if one <= 0 || half <= one || most < half || requests < minPicks {
			t.Errorf("at %d: a draw %v ms, two %v, 99 in 100 %v, requests %v", s.Size, one, half, most, requests)
		}
	}
}

func TestRepeatsEndWithTheSpanAndSayHowMany(t *testing.T) {
	done := 0
	do := func() error { done++; return nil }
	if partial, err := runRepeats(t.Context(), time.Hour, do); partial != "" || err != nil || done != 3 {
		t.Errorf("%d of 3: %q, %v", done, partial, err)
	}
	done = 0
	if partial, err := runRepeats(t.Context(), 0, do); partial == "" || err != nil || done != 1 {
		t.Errorf("%d within no time: %q, %v", done, partial, err)
	}
	if medianFigure := median([]float64{9, 1, 2, 4}); medianFigure != 3 {
		t.Errorf("the median of four is %v", medianFigure)
	}
}
