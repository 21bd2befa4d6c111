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

// addedTime measures what a proxy's pick adds to a request by the entries of its table, with the code of the fake
// proxies: the weighted pick, and the second pick of an ordered retry, which leaves out the previous backend.
type addedTime struct{}

// How much one size plays.
const (
	pickRepeats  = 5
	indexRepeats = 20
	maxPicks     = 20_000      // in one repeat
	minPicks     = 100         // for a share of 99 in 100 to mean something
	maxPickTime  = time.Minute // that a histogram holds
)

// Describe tells what is measured.
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

// Needs tells what one size takes at most.
func (addedTime) Needs(_ int, o Options) Needs {
	const bytes = 256 << 20
	return Needs{Memory: bytes, Time: o.Duration + 2*maxPickTime}
}

// pickTimes is what one repeat has shown, in nanoseconds.
type pickTimes struct {
	firstPick          *hdrhistogram.Histogram // wall time of a pick
	bothPicks          *hdrhistogram.Histogram // and of that of a retry, together
	firstPickProcessor *hdrhistogram.Histogram // processor time of the thread, which a busy machine lengthens less
	bothPicksProcessor *hdrhistogram.Histogram
	requests           int
}

func newPickTimes() pickTimes {
	empty := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxPickTime), histogramDigits) }
	return pickTimes{firstPick: empty(), bothPicks: empty(), firstPickProcessor: empty(), bothPicksProcessor: empty()}
}

// Run plays the repeats over one table, and takes the median of their percentiles.
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
	if fewest := slices.MinFunc(all, func(a, b pickTimes) int { return a.requests - b.requests }).requests; fewest < picksForStableP99 {
		sample.Partial = fmt.Sprintf("%d requests in a repeat, so that 99 in 100 is one of the slowest few", fewest)
	}
	return sample, nil
}

// picksForStableP99 is enough for the slowest of a hundred to be many.
const picksForStableP99 = 1000

// measurePicks picks a backend and another one for a while, and notes how long that took. It holds its thread, whose
// processor time is read.
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

// measureOne picks a backend and, as an ordered retry does, another one.
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
		return fmt.Errorf("drew %q, then %q of %d entries", first, second, entries)
	}
	return errors.Join(
		t.firstPick.RecordValue(firstPick.Nanoseconds()),
		t.bothPicks.RecordValue(bothPicks.Nanoseconds()),
		t.firstPickProcessor.RecordValue(firstPickProcessor.Nanoseconds()),
		t.bothPicksProcessor.RecordValue(bothPicksProcessor.Nanoseconds()))
}

// weightedTable makes a table of so many entries, with weights as rough as discovery's.
func weightedTable(entries int, seed uint64) *fake.Table {
	random := rand.New(rand.NewPCG(seed, seed))
	table := fake.NewTable()
	for i := range entries {
		table.Set(fmt.Sprintf("s-%08x", i), 0.5+1.5*random.Float64())
	}
	return table
}
