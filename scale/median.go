package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxRepeats is how often a size is measured, of which the median is taken.
const maxRepeats = 3

// runRepeats does something maxRepeats times, or as often as begins within a span, and once at least. It says so where it is
// less.
func runRepeats(ctx context.Context, span time.Duration, do func() error) (partial string, err error) {
	began := time.Now()
	done := 0
	for done == 0 || done < maxRepeats && time.Since(began) < span {
		if err := errors.Join(ctx.Err(), do()); err != nil {
			return "", err
		}
		done++
	}
	if done < maxRepeats {
		partial = fmt.Sprintf("%d of %d repeats began within %s", done, maxRepeats, span)
	}
	return partial, nil
}

// histogramDigits is the precision of percentiles.
const histogramDigits = 3

// median is the middle value, or the mean of the two in the middle; 0 of none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// medianOf is the median of one figure of several measurements.
func medianOf[T any](all []T, figure func(T) float64) float64 {
	var values []float64
	for _, measurement := range all {
		values = append(values, figure(measurement))
	}
	return median(values)
}
