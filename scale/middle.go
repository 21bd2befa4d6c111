package scale

import "slices"

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
	for _, one := range all {
		values = append(values, figure(one))
	}
	return median(values)
}
