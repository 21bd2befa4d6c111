package results

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
)

// shownDigits is the number of significant digits of a figure in a table.
const shownDigits = 3

// zeroThreshold is the absolute value below which a table shows a figure as 0.
const zeroThreshold = 1e-9

// FormatFigure formats a figure as tables show it: three significant digits, and commas between
// thousands.
func FormatFigure(value float64) string {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprint(value)
	}
	if math.Abs(value) < zeroThreshold {
		return "0"
	}
	digits := shownDigits - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits > 0 {
		return strconv.FormatFloat(value, 'f', digits, 64)
	}
	unit := int64(math.Pow10(-digits)) // value of one unit in the last digit that is shown
	return humanize.Comma(int64(math.Round(value/float64(unit))) * unit)
}

// Markdown returns the run as the part of a page that shows it: what was measured, the table of the
// samples, their violations and gaps, and the table of the fits with the fitted figures at the
// target sizes.
func (r *Run) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s. Run `%s`, text %s, %s UTC, %d cores, %d MB, over %s, seed %d, %s s a size: %s.\n\n", r.About, r.Name, r.Revision,
		r.Date, r.Machine.Cores, r.Machine.Memory>>20, r.Transport, r.Seed, FormatFigure(r.Seconds), r.Verdict)
	r.writeSamples(&b)
	for _, s := range r.Samples {
		for _, text := range s.Violations {
			fmt.Fprintf(&b, "\nBroken at %d: %s.\n", s.Size, text)
		}
		if s.Partial != "" {
			fmt.Fprintf(&b, "\nPartial at %d: %s.\n", s.Size, s.Partial)
		}
		if s.Inconclusive != "" {
			fmt.Fprintf(&b, "\nNot judged at %d: %s.\n", s.Size, s.Inconclusive)
		}
	}
	if len(r.Fits) > 0 {
		b.WriteString("\n")
		r.writeFits(&b)
	}
	return b.String()
}

// writeSamples writes the table of the samples, a row per metric.
func (r *Run) writeSamples(b *strings.Builder) {
	fmt.Fprintf(b, "| measured, by %s |", r.SizeUnit)
	for _, s := range r.Samples {
		fmt.Fprintf(b, " %s |", humanize.Comma(int64(s.Size)))
	}
	b.WriteString(" budget |\n| --- |" + strings.Repeat(" ---: |", len(r.Samples)+1) + "\n")
	for _, m := range r.Metrics {
		fmt.Fprintf(b, "| %s, %s |", m.About, m.Unit)
		for _, s := range r.Samples {
			if value, ok := s.Get(m.Name); ok {
				fmt.Fprintf(b, " %s |", emphasize(value, m.Budget))
			} else {
				b.WriteString(" - |")
			}
		}
		fmt.Fprintf(b, " %s |\n", formatBudget(m))
	}
	b.WriteString("| load of the machine before |")
	for _, s := range r.Samples {
		fmt.Fprintf(b, " %.1f |", s.Load)
	}
	b.WriteString(" - |\n")
}

// writeFits writes the table of the fits, with the fitted figures at the target sizes.
func (r *Run) writeFits(b *strings.Builder) {
	fmt.Fprintf(b, "| fitted, n %s | form | exponent | residual |", r.SizeUnit)
	for _, target := range r.Targets {
		fmt.Fprintf(b, " at %s, fitted |", humanize.Comma(int64(target)))
	}
	b.WriteString(" budget |\n| --- | --- |" + strings.Repeat(" ---: |", len(r.Targets)+3) + "\n")
	for _, f := range r.Fits {
		m := r.metric(f.Metric)
		form := fmt.Sprintf("%s n^%.2f", FormatFigure(f.Coefficient), f.Exponent)
		if f.Form == FormLinear {
			form = fmt.Sprintf("%s + %s n", FormatFigure(f.Intercept), FormatFigure(f.Slope))
		}
		fmt.Fprintf(b, "| %s, %s | %s | %.2f | %.1f%% |", m.About, m.Unit, form, f.Exponent, 100*f.Residual)
		for _, target := range r.Targets {
			fmt.Fprintf(b, " %s |", emphasize(f.At(target), m.Budget))
		}
		fmt.Fprintf(b, " %s |\n", formatBudget(m))
	}
}

// emphasize formats a figure, in bold if it exceeds its budget.
func emphasize(value, budget float64) string {
	if budget > 0 && value > budget {
		return "**" + FormatFigure(value) + "**"
	}
	return FormatFigure(value)
}

func formatBudget(m Metric) string {
	if m.Budget == 0 {
		return "-"
	}
	return FormatFigure(m.Budget)
}

func (r *Run) metric(name string) Metric {
	for _, m := range r.Metrics {
		if m.Name == name {
			return m
		}
	}
	return Metric{Name: name}
}

// Figure returns one figure of a run: the measured one if there is a sample of the size, otherwise
// the fitted one.
func (r *Run) Figure(metric string, size int) (string, error) {
	for _, s := range r.Samples {
		if value, ok := s.Get(metric); ok && s.Size == size {
			return FormatFigure(value), nil
		}
	}
	for _, f := range r.Fits {
		if f.Metric == metric {
			return FormatFigure(f.At(size)), nil
		}
	}
	return "", fmt.Errorf("run %s has no figure of metric %q at size %d, measured or fitted", r.Name, metric, size)
}
