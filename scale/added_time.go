package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheelrill/fake"
	"wheelrill/scale/results"
)

// addedTime measures the time that a proxy adds to a request when it picks a backend, as a function
// of the number of entries of the proxy's table. It runs the code of the fake proxies: the weighted
// pick, and the second pick of an ordered retry, which excludes the backend of the first attempt.
type addedTime struct{}

// Limits of the measurement at one size.
const (
	pickRepeats  = 5
	indexRepeats = 20
	maxPicks     = 20_000      // largest number of requests in a repeat
	minPicks     = 100         // smallest number of requests in a repeat: a 99th percentile needs at least 100 values
	maxPickTime  = time.Minute // longest time of a request's picks that a histogram records
)

// Describe returns the name, the sizes and the metrics of the measurement.
func (addedTime) Describe() Description {
	return Description{Name: "added-time", SizeUnit: "lines", Sizes: []int{5, 50, 200, 1000, 5700, 20_000, 99_000},
		Targets: []int{99_000}, Transport: "calls",
		About: "Time that a proxy's draw and an ordered retry add to a request by the lines of its table",
		Metrics: []results.Metric{
			{Name: "draw_half", Unit: "ms", About: "a draw, 50 in 100", Budget: maxAddedMilliseconds, Fit: true},
			{Name: "draw_p99", Unit: "ms", About: "a draw, 99 in 100", Budget: maxAddedMilliseconds, Fit: true},
			{Name: "retried_half", Unit: "ms", About: "a draw and that of a retry, 50 in 100", Budget: maxAddedMilliseconds, Fit: true},
			{Name: "retried_p99", Unit: "ms", About: "a draw and that of a retry, 99 in 100", Budget: maxAddedMilliseconds, Fit: true},
			{Name: "draw_processor", Unit: "ms", About: "processor time of a draw, 99 in 100", Fit: true},
			{Name: "retried_processor", Unit: "ms", About: "processor time of a draw and that of a retry, 99 in 100", Budget: maxAddedMilliseconds, Fit: true},
			{Name: "index", Unit: "ms", About: "processor time at each change of the table, beside requests", Fit: true},
			{Name: "requests", Unit: "requests", About: "in each of five repeats, of which the median is taken"},
		}}
}

// Needs returns the largest memory and time that the measurement of one size takes.
func (addedTime) Needs(_ int, o Options) Needs {
	const bytes = 256 << 20
	return Needs{Memory: bytes, Time: o.Duration + 2*maxPickTime}
}

// pickTimes holds the times of all picks of one repeat, in nanoseconds.
type pickTimes struct {
	firstPick *hdrhistogram.Histogram // wall time of the first pick
	bothPicks *hdrhistogram.Histogram // wall time of the first pick and the retry's pick together
	// Processor time of the thread for the first pick, and for the first pick and the retry's pick
	// together. A busy machine lengthens processor time less than wall time.
	firstPickProcessor *hdrhistogram.Histogram
	bothPicksProcessor *hdrhistogram.Histogram
	requests           int
}

func newPickTimes() pickTimes {
	empty := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxPickTime), histogramDigits) }
	return pickTimes{firstPick: empty(), bothPicks: empty(), firstPickProcessor: empty(), bothPicksProcessor: empty()}
}

// Run repeats the picks over one table, and returns the median of each percentile over the repeats.
func (addedTime) Run(ctx context.Context, size int, o Options) (sample results.Sample, err error) {
	table := weightedTable(size, o.Seed)
	index := time.Duration(0)
	for range indexRepeats {
		index += processorTimeOf(func() { table.Index(nil) })
	}
	sample.Set("index", index.Seconds()*1000/indexRepeats)
	random := rand.New(rand.NewPCG(o.Seed, uint64(size)))
	var all []pickTimes
	for range pickRepeats {
		if err := ctx.Err(); err != nil {
			return sample, err
		}
		repeat, err := measurePicks(table, size, random, o.Duration/pickRepeats)
		if err != nil {
			return sample, err
		}
		all = append(all, repeat)
	}
	figures := []struct {
		metric    string
		quantile  float64
		histogram func(pickTimes) *hdrhistogram.Histogram
	}{
		{"draw_half", 50, func(d pickTimes) *hdrhistogram.Histogram { return d.firstPick }},
		{"draw_p99", 99, func(d pickTimes) *hdrhistogram.Histogram { return d.firstPick }},
		{"retried_half", 50, func(d pickTimes) *hdrhistogram.Histogram { return d.bothPicks }},
		{"retried_p99", 99, func(d pickTimes) *hdrhistogram.Histogram { return d.bothPicks }},
		{"draw_processor", 99, func(d pickTimes) *hdrhistogram.Histogram { return d.firstPickProcessor }},
		{"retried_processor", 99, func(d pickTimes) *hdrhistogram.Histogram { return d.bothPicksProcessor }},
	}
	for _, f := range figures {
		sample.Set(f.metric, medianOf(all, func(d pickTimes) float64 {
			return float64(f.histogram(d).ValueAtQuantile(f.quantile)) / float64(time.Millisecond)
		}))
	}
	sample.Set("requests", medianOf(all, func(d pickTimes) float64 { return float64(d.requests) }))
	if fewest := slices.MinFunc(all, func(a, b pickTimes) int {
		return a.requests - b.requests
	}).requests; fewest < picksForStableP99 {
		sample.Partial = fmt.Sprintf("%d requests in a repeat, so that 99 in 100 is one of the slowest few", fewest)
	}
	return sample, nil
}

// picksForStableP99 is the smallest number of requests per repeat whose 99th percentile is stable:
// the slowest hundredth of 1000 requests has 10 requests, so one slow request hardly changes the
// percentile.
const picksForStableP99 = 1000

// measurePicks times requests for the given span: at least minPicks and at most maxPicks requests.
// Each request picks a backend, and another one for a retry. The goroutine is locked to its thread
// for the measurement of the thread's processor time.
func measurePicks(table *fake.Table, entries int, random *rand.Rand, span time.Duration) (pickTimes, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	times := newPickTimes()
	began := time.Now()
	for times.requests < maxPicks && (times.requests < minPicks || time.Since(began) < span) {
		if err := times.measureOne(table, entries, random.Uint64()); err != nil {
			return times, err
		}
		times.requests++
	}
	return times, nil
}

// measureOne records the times of one request: a first pick, and a second pick that excludes the
// backend of the first one, as in an ordered retry.
func (t *pickTimes) measureOne(table *fake.Table, entries int, number uint64) error {
	from := time.Now()
	fromProcessor := threadTime()
	first, found := table.Pick("", number)
	firstPick := time.Since(from)
	firstPickProcessor := threadTime() - fromProcessor
	second, foundOther := table.Pick(first, fake.NextRandom(number))
	bothPicks := time.Since(from)
	bothPicksProcessor := threadTime() - fromProcessor
	if !found || foundOther && second == first || !foundOther && entries > 1 {
		return fmt.Errorf("picked %q, then %q from a table of %d entries; "+
			"want two different backends, or one backend if there is one entry",
			first, second, entries)
	}
	return errors.Join(
		t.firstPick.RecordValue(firstPick.Nanoseconds()),
		t.bothPicks.RecordValue(bothPicks.Nanoseconds()),
		t.firstPickProcessor.RecordValue(firstPickProcessor.Nanoseconds()),
		t.bothPicksProcessor.RecordValue(bothPicksProcessor.Nanoseconds()))
}

// weightedTable returns a table of the given number of entries, with weights that vary as much as
// those from discovery.
func weightedTable(entries int, seed uint64) *fake.Table {
	random := rand.New(rand.NewPCG(seed, seed))
	table := fake.NewTable()
	for i := range entries {
		table.Set(fmt.Sprintf("s-%08x", i), 0.5+1.5*random.Float64())
	}
	return table
}
