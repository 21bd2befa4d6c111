package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Forms of a fit.
const (
	Power  = "power"  // coefficient * n^exponent
	Linear = "linear" // intercept + slope * n
)

// Fit is a metric over sizes: both forms, and the one that is nearer to what was seen.
type Fit struct {
	Metric      string  `json:"metric"`
	Form        string  `json:"form"`
	Coefficient float64 `json:"coefficient"`
	Exponent    float64 `json:"exponent"`
	Intercept   float64 `json:"intercept"`
	Slope       float64 `json:"slope"`
	Residual    float64 `json:"residual"` // root of the mean squared relative error, of the form that is taken
	Other       float64 `json:"residual_of_the_other"`
	Sizes       int     `json:"sizes"` // different ones it rests on
}

// sizesToFit is the fewest that a fit may rest on.
const sizesToFit = 3

// FitOver fits a metric over the samples; false where too few sizes have it, or a figure is 0. A line that is below 0 at
// one of the targets is not taken.
func FitOver(samples []Sample, metric string, targets []int) (Fit, bool) {
	var sizes, values, logSizes, logValues []float64
	different := map[int]bool{}
	for _, s := range samples {
		value, ok := s.Get(metric)
		if !ok || value <= 0 || s.Size <= 0 {
			continue
		}
		different[s.Size] = true
		sizes, values = append(sizes, float64(s.Size)), append(values, value)
		logSizes, logValues = append(logSizes, math.Log(float64(s.Size))), append(logValues, math.Log(value))
	}
	if len(different) < sizesToFit {
		return Fit{}, false
	}
	f := Fit{Metric: metric, Form: Power, Sizes: len(different)}
	intercept, exponent := stat.LinearRegression(logSizes, logValues, nil, false)
	f.Coefficient, f.Exponent = math.Exp(intercept), exponent
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.Residual = relativeError(sizes, values, f.power)
	f.Other = relativeError(sizes, values, f.linear)
	falls := slices.ContainsFunc(targets, func(target int) bool { return f.linear(float64(target)) <= 0 })
	if f.Other < f.Residual && !falls {
		f.Form, f.Residual, f.Other = Linear, f.Other, f.Residual
	}
	return f, true
}

func (f Fit) power(size float64) float64  { return f.Coefficient * math.Pow(size, f.Exponent) }
func (f Fit) linear(size float64) float64 { return f.Intercept + f.Slope*size }

// At reads the fit at a size.
func (f Fit) At(size int) float64 {
	if f.Form == Linear {
		return f.linear(float64(size))
	}
	return f.power(float64(size))
}

// relativeError is the root of the mean squared relative error of a curve.
func relativeError(sizes, values []float64, curve func(float64) float64) float64 {
	squares := make([]float64, len(values))
	for i, value := range values {
		squares[i] = math.Pow((curve(sizes[i])-value)/value, 2)
	}
	return math.Sqrt(stat.Mean(squares, nil))
}
