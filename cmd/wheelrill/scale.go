package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"wheelrill/scale"
	"wheelrill/scale/results"
)

// runsFolder is the default folder of saved runs, relative to the root of a checkout.
const runsFolder = "docs/capacity"

func newScaleCommand(ctx context.Context) *cobra.Command {
	command := &cobra.Command{Use: "scale", Short: "Measure what controllers consume as an installation grows"}
	command.AddCommand(newScaleListCommand(), newScaleRunCommand(ctx), newScaleReportCommand())
	return command
}

func newScaleListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the measurements",
		Example: "  wheelrill scale list",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			for _, m := range scale.Measurements() {
				description := m.Describe()
				fmt.Fprintf(c.OutOrStdout(), "%-16s %s; sizes %v, %s\n", description.Name, description.About,
					description.Sizes, description.SizeUnit)
			}
		},
	}
}

// scaleRunFlags holds the flags of scale run.
type scaleRunFlags struct {
	options  scale.Options
	sizes    []int
	asJSON   bool
	folder   string
	name     string
	revision string
}

func newScaleRunCommand(ctx context.Context) *cobra.Command {
	flags := &scaleRunFlags{}
	command := &cobra.Command{
		Use:   "run NAME",
		Short: "Run a measurement at each of its sizes and fit the results",
		Long: "Measures at each size, fits a slope over the sizes and saves the run as JSON. It uses at most half of\n" +
			"the machine's memory and a hundred processes, and stops by itself. Exit code 0: all budgets were kept\n" +
			"and all digests agree; 1: a budget was exceeded or a digest differs; 2: no verdict, or the measurement\n" +
			"was refused.",
		Example: "  wheelrill scale run record --sizes 3,5,7,9 --for 20s --out docs/capacity",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			run, err := measure(ctx, args[0], flags)
			if err != nil {
				return reportInconclusive(err)
			}
			if err := writeRun(c.OutOrStdout(), run, flags.asJSON); err != nil {
				return err
			}
			return verdictError(run.Verdict)
		},
	}
	f := command.Flags()
	f.IntSliceVar(&flags.sizes, "sizes", nil, "sizes to measure; by default those that scale list shows")
	f.DurationVar(&flags.options.Duration, "for", 20*time.Second, "how long each size is observed")
	f.Uint64Var(&flags.options.Seed, "seed", 1, "seed of all random choices")
	f.IntVar(&flags.options.Voters, "voters", 5, "number of raft voters, if sizes count something else")
	f.BoolVar(&flags.asJSON, "json", false, "write the run as JSON")
	f.StringVar(&flags.folder, "out", "", "folder to save the run in, such as "+runsFolder)
	f.StringVar(&flags.name, "name", "", "name to save the run under; by default the measurement's")
	f.StringVar(&flags.revision, "text", "", "commit that is measured, if the build does not record it")
	f.StringVar(&flags.options.Folder, "logs", "", "folder for the processes' logs; by default a temporary one")
	return command
}

// measure runs the named measurement, and saves the run if a folder is given. The measured
// processes run this executable.
func measure(ctx context.Context, name string, flags *scaleRunFlags) (*results.Run, error) {
	m, err := scale.Find(name)
	if err != nil {
		return nil, err
	}
	if flags.options.Program, err = os.Executable(); err != nil {
		return nil, err
	}
	flags.options.Progress = newProgressWriter("")
	run, err := scale.MeasureSizes(ctx, m, flags.sizes, flags.options)
	if err != nil {
		return nil, err
	}
	if flags.name != "" {
		run.Name = flags.name
	}
	if flags.revision != "" {
		run.Revision = flags.revision
	}
	if flags.folder == "" {
		return run, nil
	}
	path, err := run.Save(flags.folder)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(os.Stderr, "saved in", path)
	return run, nil
}

// writeRun writes a run as JSON, or as a table followed by the exceeded budgets.
func writeRun(w io.Writer, run *results.Run, asJSON bool) error {
	if asJSON {
		return writeJSON(w, run)
	}
	fmt.Fprint(w, run.Markdown())
	for _, overBudget := range run.OverBudget() {
		fmt.Fprintln(w, overBudget)
	}
	return nil
}

// scaleReportFlags holds the flags of scale report.
type scaleReportFlags struct {
	folder string // folder of the saved runs
	check  string // path of the page to compare with the runs
	write  string // path of the page to update from the runs
	asJSON bool
	refit  bool
}

func newScaleReportCommand() *cobra.Command {
	flags := &scaleReportFlags{}
	command := &cobra.Command{
		Use:   "report",
		Short: "Print the tables of saved runs, or check or update them in a page",
		Long: "Prints the tables of all saved runs: the measured values, the fits with exponent and residual, and the\n" +
			"values that the fits predict for larger sizes. --check compares the blocks and figures in a page with\n" +
			"the runs, --write updates them. Exit code 1: the page differs; 2: the runs or the page cannot be read.",
		Example: "  wheelrill scale report --check docs/CAPACITY.md",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return reportRuns(c.OutOrStdout(), flags) },
	}
	f := command.Flags()
	f.StringVar(&flags.folder, "runs", runsFolder, "folder of the saved runs")
	f.BoolVar(&flags.asJSON, "json", false, "write the runs as JSON")
	f.BoolVar(&flags.refit, "refit", false,
		"fit the samples of all saved runs again and save them, for example after a change of the fitting")
	f.StringVar(&flags.check, "check", "", "page whose blocks and figures to compare with the runs")
	f.StringVar(&flags.write, "write", "", "page whose blocks and figures to update from the runs")
	return command
}

// reportRuns prints the saved runs, computes their fits and verdicts again, or checks or updates a
// page, as the flags select.
func reportRuns(w io.Writer, flags *scaleReportFlags) error {
	runs, err := results.Load(flags.folder)
	switch {
	case err != nil:
		return reportInconclusive(err)
	case len(runs) == 0:
		return reportInconclusive(fmt.Errorf("%s has no saved runs; wheelrill scale run NAME --out %s saves one",
			flags.folder, flags.folder))
	case flags.refit:
		return refit(flags.folder, runs)
	case flags.check != "" && flags.write != "":
		return reportInconclusive(errors.New("give --check or --write, not both"))
	case flags.check != "":
		return checkPage(flags.check, runs)
	case flags.write != "":
		return writePage(flags.write, runs)
	case flags.asJSON:
		return writeJSON(w, runs)
	}
	for _, run := range runs {
		fmt.Fprintf(w, "## %s\n\n%s\n", run.Name, run.Markdown())
	}
	return nil
}

// refit computes fits and verdicts of runs again from their samples, and saves the runs.
func refit(folder string, runs []*results.Run) error {
	for _, run := range runs {
		run.Evaluate()
		if _, err := run.Save(folder); err != nil {
			return reportInconclusive(err)
		}
	}
	return nil
}

// checkPage compares the generated blocks and figures in a page with the saved runs. It prints the
// first difference and returns exitViolated if the page differs from the runs.
func checkPage(path string, runs []*results.Run) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return reportInconclusive(err)
	}
	if err := results.CheckPage(string(page), runs); err != nil {
		fmt.Fprintf(os.Stderr, "wheelrill: %s: %s\n", path, err)
		return exitViolated
	}
	return nil
}

// writePage replaces the generated blocks and figures in a page by those that follow from the saved
// runs.
func writePage(path string, runs []*results.Run) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return reportInconclusive(err)
	}
	updated, err := results.FillPage(string(page), runs)
	if err != nil {
		return reportInconclusive(fmt.Errorf("%s: %w", path, err))
	}
	return os.WriteFile(path, []byte(updated), 0o644)
}
