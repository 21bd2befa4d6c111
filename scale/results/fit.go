package results

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Forms of the curve that is fitted over sizes n.
const (
	FormPower  = "power"  // curve coefficient * n^exponent, where n is the size
	FormLinear = "linear" // curve intercept + slope * n, where n is the size
)

// Fit is a curve that is fitted to a metric over sizes n. It has the parameters of both forms, and
// the form that was chosen.
type Fit struct {
	Metric        string  `json:"metric"`                // name of the metric
	Form          string  `json:"form"`                  // chosen form of the curve: FormPower or FormLinear
	Coefficient   float64 `json:"coefficient"`           // coefficient of the curve of FormPower
	Exponent      float64 `json:"exponent"`              // exponent of the curve of FormPower
	Intercept     float64 `json:"intercept"`             // intercept of the curve of FormLinear
	Slope         float64 `json:"slope"`                 // slope of the curve of FormLinear
	Residual      float64 `json:"residual"`              // root of the mean squared relative error of the chosen form
	OtherResidual float64 `json:"residual_of_the_other"` // root of the mean squared relative error of the rejected form
	Sizes         int     `json:"sizes"`                 // number of different sizes that were fitted
}

// minSizes is the smallest number of different sizes that a fit needs.
const minSizes = 3

// FitOver fits a metric over the sizes of the samples, and chooses the form with the smaller error.
// It does not choose FormLinear if the line is at 0 or below at one of the target sizes. It returns
// false if fewer than minSizes sizes have a figure above 0.
func FitOver(samples []Sample, metric string, targets []int) (Fit, bool) {
	var sizes, values, logSizes, logValues []float64
	different := map[int]bool{}
	for _, s := range samples {
		value, ok := s.Get(metric)
		if !ok || value <= 0 || s.Size <= 0 {
			continue
		}
		different[s.Size] = true
		sizes = append(sizes, float64(s.Size))
		values = append(values, value)
		logSizes = append(logSizes, math.Log(float64(s.Size)))
		logValues = append(logValues, math.Log(value))
	}
	if len(different) < minSizes {
		return Fit{}, false
	}
	f := Fit{Metric: metric, Form: FormPower, Sizes: len(different)}
	logCoefficient, exponent := stat.LinearRegression(logSizes, logValues, nil, false)
	f.Coefficient = math.Exp(logCoefficient)
	f.Exponent = exponent
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.Residual = relativeError(sizes, values, f.power)
	f.OtherResidual = relativeError(sizes, values, f.linear)
	negative := slices.ContainsFunc(targets, func(target int) bool { return f.linear(float64(target)) <= 0 })
	if f.OtherResidual < f.Residual && !negative {
		f.Form = FormLinear
		f.Residual, f.OtherResidual = f.OtherResidual, f.Residual
	}
	return f, true
}

func (f Fit) power(size float64) float64  { return f.Coefficient * math.Pow(size, f.Exponent) }
func (f Fit) linear(size float64) float64 { return f.Intercept + f.Slope*size }

// At returns the fitted figure at a size.
func (f Fit) At(size int) float64 {
	if f.Form == FormLinear {
		return f.linear(float64(size))
	}
	return f.power(float64(size))
}

// relativeError returns the root of the mean squared relative error of a curve.
func relativeError(sizes, values []float64, curve func(float64) float64) float64 {
	squares := make([]float64, len(values))
	for i, value := range values {
		squares[i] = math.Pow((curve(sizes[i])-value)/value, 2)
	}
	return math.Sqrt(stat.Mean(squares, nil))
}
