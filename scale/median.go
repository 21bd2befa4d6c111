package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxRepeats is the largest number of times that a size is measured. Samples have the median of the
// repeats.
const maxRepeats = 3

// runRepeats calls do up to maxRepeats times. The first repeat always runs, and each further repeat
// begins only within the span. If fewer than maxRepeats repeats began, partial states how many did.
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

// histogramDigits is the number of significant digits of the values in histograms.
const histogramDigits = 3

// median returns the middle value, or the mean of the two middle values. It returns 0 if there are
// no values.
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
