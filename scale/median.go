package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxRepeats is the largest number of times that a size is measured. The median of the repeats is
// reported.
const maxRepeats = 3

// runRepeats calls do maxRepeats times. A repeat begins only within the span, except for the first
// one, which always runs. If fewer than maxRepeats began, partial states how many.
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

// histogramDigits is the precision of percentiles, in significant digits.
const histogramDigits = 3

// median returns the middle value, or the mean of the two middle values; 0 for no values.
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

// medianOf returns the median of one figure over several measurements.
func medianOf[T any](all []T, figure func(T) float64) float64 {
	var values []float64
	for _, measurement := range all {
		values = append(values, figure(measurement))
	}
	return median(values)
}
