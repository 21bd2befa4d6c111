package results

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Patterns of the parts of a page that are filled from runs. A block has the tables of a run
// between two HTML comments. A figure is a number before an HTML comment that names the run, the
// metric and the size.
var (
	block  = regexp.MustCompile(`(?s)<!-- scale report (\S+) -->\n(.*?)<!-- end -->`)
	figure = regexp.MustCompile(`([0-9.,]+)<!-- scale (\S+) (\S+) (\d+) -->`)
)

// FillPage returns the page with the contents of all blocks and figures replaced by the values of
// the runs. It returns an error if a block or figure names a run that is not in runs.
func FillPage(page string, runs []*Run) (string, error) {
	if strings.Count(page, "<!-- scale report ") != len(block.FindAllString(page, -1)) {
		return "", errors.New("a <!-- scale report --> block has no <!-- end -->")
	}
	f := filler{byName: map[string]*Run{}}
	for _, r := range runs {
		f.byName[r.Name] = r
	}
	page = block.ReplaceAllStringFunc(page, f.fillBlock)
	page = figure.ReplaceAllStringFunc(page, f.fillFigure)
	return page, errors.Join(f.errs...)
}

// filler creates the blocks and figures of a page from runs. It collects errors, and leaves the
// blocks and figures that fail unchanged.
type filler struct {
	byName map[string]*Run
	errs   []error
}

// run returns the run of the given name. If the name is unknown, it adds an error and returns nil.
func (f *filler) run(name string) *Run {
	r := f.byName[name]
	if r == nil {
		f.errs = append(f.errs, fmt.Errorf("run %q does not exist", name))
	}
	return r
}

func (f *filler) fillBlock(text string) string {
	name := block.FindStringSubmatch(text)[1]
	r := f.run(name)
	if r == nil {
		return text
	}
	return fmt.Sprintf("<!-- scale report %s -->\n%s<!-- end -->", name, r.Markdown())
}

func (f *filler) fillFigure(text string) string {
	parts := figure.FindStringSubmatch(text)
	name, metric := parts[2], parts[3]
	r := f.run(name)
	if r == nil {
		return text
	}
	size, err := strconv.Atoi(parts[4])
	var value string
	if err == nil {
		value, err = r.Figure(metric, size)
	}
	if err != nil {
		f.errs = append(f.errs, err)
		return text
	}
	return fmt.Sprintf("%s<!-- scale %s %s %d -->", value, name, metric, size)
}

// CheckPage checks whether the page has the tables and figures of the runs. If not, it returns an
// error that shows the first line that differs.
func CheckPage(page string, runs []*Run) error {
	filled, err := FillPage(page, runs)
	if err != nil {
		return err
	}
	have := strings.Split(page, "\n")
	want := strings.Split(filled, "\n")
	for i := range min(len(have), len(want)) {
		if have[i] != want[i] {
			return fmt.Errorf("line %d differs from the kept runs:\n  has  %s\n  want %s\n"+
				"run wheelrill scale report --write to update it", i+1, have[i], want[i])
		}
	}
	if len(have) != len(want) {
		return fmt.Errorf("the page has %d lines, but the kept runs give %d; run wheelrill scale report --write to update it",
			len(have), len(want))
	}
	return nil
}
