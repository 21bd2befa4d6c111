package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"wheelrill/rehearse"
)

// Exit codes of a rehearsal.
const (
	exitBroken   = 1
	exitUnjudged = 2
)

func rehearsals(ctx context.Context) *cobra.Command {
	top := &cobra.Command{Use: "rehearse", Short: "Play scenarios against real controllers on this machine"}
	list := &cobra.Command{Use: "list", Short: "List the scenarios", Example: "  wheelrill rehearse list", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "calm       nothing goes wrong")
			fmt.Fprintln(c.OutOrStdout(), "takeover   controllers are killed under load, and come back as new; a worker hangs now and then")
		}}
	t := &rehearse.Scenario{}
	var asJSON bool
	sharing := "on"
	run := &cobra.Command{Use: "run NAME", Short: "Play one", Args: cobra.ExactArgs(1),
		Long:    "Plays a scenario and judges it. Exit code 0: every rule held; 1: one broke; 2: it could not be judged.",
		Example: "  wheelrill rehearse run takeover --for 60s --kill-every 6s",
		RunE: func(c *cobra.Command, args []string) error {
			if t.Calm = args[0] == "calm"; !t.Calm && args[0] != "takeover" {
				return unjudged(fmt.Errorf("there is no scenario %q; wheelrill rehearse list names them", args[0]))
			}
			switch sharing {
			case "on", "off":
				t.Sharing = sharing == "on"
			default:
				return unjudged(fmt.Errorf("--sharing %q; give on or off", sharing))
			}
			program, err := os.Executable()
			if err != nil {
				return unjudged(err)
			}
			t.Program = program
			if shown, err := os.Stderr.Stat(); err == nil && shown.Mode()&os.ModeCharDevice != 0 {
				began := time.Now()
				t.Progress = func(text string) {
					fmt.Fprintf(os.Stderr, "%6.1f s of %s  %s\n", time.Since(began).Seconds(), t.Duration, text)
				}
			}
			report, err := t.Run(ctx)
			if err != nil {
				return unjudged(err)
			}
			return writeReport(c.OutOrStdout(), report, asJSON)
		}}
	f := run.Flags()
	f.DurationVar(&t.Duration, "for", time.Minute, "how long it is played")
	f.DurationVar(&t.FaultInterval, "kill-every", 6*time.Second, "time between two faults")
	f.IntVar(&t.Controllers, "instances", 3, "controllers")
	f.IntVar(&t.Proxies, "relays", 60, "relays")
	f.IntVar(&t.Backends, "workers", 12, "workers")
	f.Uint64Var(&t.Seed, "seed", 1, "of all that is drawn")
	f.StringVar(&sharing, "sharing", "on", "on, or off for a baseline")
	f.BoolVar(&t.Fenced, "fenced", false, "relays ask for owners' tokens, and refuse older ones")
	f.BoolVar(&t.Disk, "disk", false, "members keep the record on disk")
	f.StringVar(&t.Faults, "faults", "kill", "what is drawn from, with commas: kill, leave, pair, freeze, cut, half, split, slow, reload")
	f.BoolVar(&asJSON, "json", false, "the report as JSON")
	f.StringVar(&t.Folder, "report", "", "folder for logs and configurations")
	top.AddCommand(list, run)
	return top
}

func unjudged(err error) error {
	fmt.Fprintln(os.Stderr, "wheelrill:", err)
	return exit(exitUnjudged)
}

// writeReport writes a report, and ends with the code of its verdict.
func writeReport(to io.Writer, r *rehearse.Report, asJSON bool) error {
	if asJSON {
		if err := writeJSON(to, r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(to, "%s, seed %d, %d controllers, sharing %v, %d relays, %.0f s, faults %v\n", r.Scenario, r.Seed, r.Controllers,
			r.Sharing, r.Proxies, r.Seconds, r.Faults)
		fmt.Fprintf(to, "effects %d, broken rules %v; longest without a line %.2f s, most messages to a relay %d\n", r.Effects,
			r.ViolationCounts, r.LongestEmptyTable, r.MostMessages)
		fmt.Fprintf(to, "value served in time %.4f of %d requests; lost %d, refused %d\n", r.ServedValue, r.Requests, r.Lost, r.Rejected)
		fmt.Fprintf(to, "streams begun %d, lines in the first second of each %.1f; all lines %d in %d orders; refused as stale %d\n",
			r.StreamsBegun, r.LinesAtConnect, r.Lines, r.Orders, r.StaleOrdersRejected)
		fmt.Fprintf(to, "hangs %d, left after %.2f s in the mean, %.2f s at most; tries into them %d; workers replaced %d\n", r.Hangs,
			r.MeanHangDetection, r.MaxHangDetection, r.AttemptsIntoHang, r.BackendsReplaced)
		for _, b := range r.Violations {
			fmt.Fprintf(to, "rule %d at %.1f s: %s: %s\n", b.Rule, b.At.Seconds(), b.Subject, b.Text)
		}
		fmt.Fprintf(to, "verdict: %s %s\n", r.Verdict, r.Reason)
	}
	return exitOf(r.Verdict)
}

func writeJSON(to io.Writer, what any) error {
	out := json.NewEncoder(to)
	out.SetIndent("", " ")
	return out.Encode(what)
}

// exitOf ends with the code of a verdict.
func exitOf(verdict rehearse.Verdict) error {
	switch verdict {
	case rehearse.VerdictPassed:
		return nil
	case rehearse.VerdictViolated:
		return exit(exitBroken)
	}
	return exit(exitUnjudged)
}
