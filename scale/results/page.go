package results

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// A page holds a run's tables between two comments, and single figures of runs before a comment that names run, metric
// and size.
var (
	block  = regexp.MustCompile(`(?s)<!-- scale report (\S+) -->\n(.*?)<!-- end -->`)
	figure = regexp.MustCompile(`([0-9.,]+)<!-- scale (\S+) (\S+) (\d+) -->`)
)

// FillPage gives a page with all blocks and figures made anew from runs. A name that no run has is an error.
func FillPage(page string, runs []*Run) (string, error) {
	if strings.Count(page, "<!-- scale report ") != len(block.FindAllString(page, -1)) {
		return "", errors.New("a block has no <!-- end -->")
	}
	f := filler{byName: map[string]*Run{}}
	for _, r := range runs {
		f.byName[r.Name] = r
	}
	page = block.ReplaceAllStringFunc(page, f.fillBlock)
	page = figure.ReplaceAllStringFunc(page, f.fillFigure)
	return page, errors.Join(f.errs...)
}

// filler makes parts of a page from runs, and collects what could not be made, which stays as it is.
type filler struct {
	byName map[string]*Run
	errs   []error
}

// run is the one of a name, or nil.
func (f *filler) run(name string) *Run {
	r := f.byName[name]
	if r == nil {
		f.errs = append(f.errs, fmt.Errorf("no run %q is kept", name))
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

// CheckPage tells whether a page has just the tables and figures that runs give, and which line is the first that differs.
func CheckPage(page string, runs []*Run) error {
	filled, err := FillPage(page, runs)
	if err != nil {
		return err
	}
	have := strings.Split(page, "\n")
	want := strings.Split(filled, "\n")
	for i := range min(len(have), len(want)) {
		if have[i] != want[i] {
			return fmt.Errorf("line %d is not what the kept runs give:\n  has  %s\n  want %s\nwheelrill scale report --write makes it so", i+1,
				have[i], want[i])
		}
	}
	if len(have) != len(want) {
		return fmt.Errorf("it has %d lines where the kept runs give %d; wheelrill scale report --write makes it so", len(have), len(want))
	}
	return nil
}
