package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheelrill/standin"
)

// addedTime measures what a proxy's draw adds to a request by the lines of its table, with the code of the stand-in
// relays: the weighted draw, and the second draw of an ordered retry, which leaves out who was tried.
type addedTime struct{}

// How much one size plays.
const (
	drawRepeats = 5
	drawsMost   = 20_000          // in one repeat
	drawsLeast  = 300             // for a share of 99 in 100 to mean something
	drawTime    = 2 * time.Second // after which a repeat that has these ends
	drawBudget  = 4.3             // ms that are added to a request, 99 in 100
)

// Describe tells what is measured.
func (addedTime) Describe() Description {
	return Description{Name: "added-time", Size: "lines", Sizes: []int{5, 50, 200, 1000, 5700, 20_000, 99_000},
		Targets: []int{99_000}, Transport: "calls",
		About: "Time that a proxy's draw and an ordered retry add to a request by the lines of its table",
		Metrics: []Metric{
			{Name: "draw-50", Unit: "µs", About: "a draw, 50 in 100", Fit: true},
			{Name: "draw-99", Unit: "µs", About: "a draw, 99 in 100", Fit: true},
			{Name: "retried-50", Unit: "µs", About: "a draw and that of a retry, 50 in 100", Fit: true},
			{Name: "retried-99", Unit: "ms", About: "a draw and that of a retry, 99 in 100", Fit: true, Most: drawBudget},
			{Name: "processor", Unit: "µs", About: "processor time of a draw, mean", Fit: true},
			{Name: "draws", Unit: "", About: "requests in a repeat, of which there are five"},
		}}
}

// Needs tells what one size takes at most.
func (addedTime) Needs(int, Options) Needs {
	const bytes = 256 << 20
	return Needs{Memory: bytes, Time: 4 * drawRepeats * drawTime}
}

// drawn is what one repeat has shown.
type drawn struct {
	once, retried *hdrhistogram.Histogram // nanoseconds
	processor     time.Duration           // of a request with both draws
	requests      int
}

// Run plays the repeats over one table, and takes the median of their percentiles.
func (addedTime) Run(ctx context.Context, size int, options Options) (sample Sample, err error) {
	table := weightedTable(size, options.Seed)
	random := rand.New(rand.NewPCG(options.Seed, uint64(size)))
	var all []drawn
	for range drawRepeats {
		if err := ctx.Err(); err != nil {
			return sample, err
		}
		one, err := drawOften(table, random)
		if err != nil {
			return sample, err
		}
		all = append(all, one)
	}
	in := func(unit time.Duration, percent float64, which func(drawn) *hdrhistogram.Histogram) float64 {
		return medianOf(all, func(d drawn) float64 { return float64(which(d).ValueAtPercentile(percent)) / float64(unit) })
	}
	once, retried := func(d drawn) *hdrhistogram.Histogram { return d.once }, func(d drawn) *hdrhistogram.Histogram { return d.retried }
	sample.Set("draw-50", in(time.Microsecond, 50, once))
	sample.Set("draw-99", in(time.Microsecond, 99, once))
	sample.Set("retried-50", in(time.Microsecond, 50, retried))
	sample.Set("retried-99", in(time.Millisecond, 99, retried))
	sample.Set("processor", medianOf(all, func(d drawn) float64 { return micros(d.processor) / 2 }))
	sample.Set("draws", medianOf(all, func(d drawn) float64 { return float64(d.requests) }))
	return sample, nil
}

// drawOften draws a backend and another one, and notes how long that took.
func drawOften(table map[string]float64, random *rand.Rand) (d drawn, err error) {
	const longest, digits = int64(time.Minute), 3
	d.once, d.retried = hdrhistogram.New(1, longest, digits), hdrhistogram.New(1, longest, digits)
	shut := map[string]bool{}
	began := time.Now()
	d.processor = spent(func() {
		for ; d.requests < drawsMost && (d.requests < drawsLeast || time.Since(began) < drawTime); d.requests++ {
			number := random.Uint64()
			from := time.Now()
			first, found := standin.Draw(table, shut, "", number)
			once := time.Since(from)
			second, other := standin.Draw(table, shut, first, standin.Redraw(number))
			retried := time.Since(from)
			if !found || other && second == first || !other && len(table) > 1 {
				err = fmt.Errorf("drew %q, then %q of %d lines", first, second, len(table))
				return
			}
			d.once.RecordValue(once.Nanoseconds())
			d.retried.RecordValue(retried.Nanoseconds())
		}
	})
	d.processor /= time.Duration(max(1, d.requests))
	return d, err
}

// weightedTable makes a table of so many lines, with weights as rough as discovery's.
func weightedTable(lines int, seed uint64) map[string]float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	table := make(map[string]float64, lines)
	for i := range lines {
		table[fmt.Sprintf("s-%08x", i)] = 0.5 + 1.5*random.Float64()
	}
	return table
}
