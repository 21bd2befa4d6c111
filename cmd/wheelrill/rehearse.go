package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"wheelrill/rehearse"
)

func newRehearseCommand(ctx context.Context) *cobra.Command {
	command := &cobra.Command{Use: "rehearse", Short: "Run scenarios against real controllers on this machine"}
	command.AddCommand(newRehearseListCommand(), newRehearseRunCommand(ctx))
	return command
}

func newRehearseListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the scenarios",
		Example: "  wheelrill rehearse list",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			for _, s := range rehearse.Scenarios() {
				fmt.Fprintf(c.OutOrStdout(), "%-10s %s\n", s.Name, s.Summary)
			}
		},
	}
}

func newRehearseRunCommand(ctx context.Context) *cobra.Command {
	scenario := &rehearse.Scenario{}
	sharing := "on"
	var asJSON bool
	command := &cobra.Command{
		Use:   "run NAME",
		Short: "Run a scenario",
		Long: "Runs a scenario and checks the rules. Exit code 0: no rule was violated; 1: a rule was violated;\n" +
			"2: no verdict.",
		Example: "  wheelrill rehearse run takeover --for 60s --kill-every 6s",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			report, err := rehearseScenario(ctx, scenario, args[0], sharing)
			if err != nil {
				return reportInconclusive(err)
			}
			return writeReport(c.OutOrStdout(), report, asJSON)
		},
	}
	f := command.Flags()
	f.DurationVar(&scenario.Duration, "for", time.Minute, "duration of the run")
	f.DurationVar(&scenario.FaultInterval, "kill-every", 6*time.Second, "time between two faults")
	f.IntVar(&scenario.Controllers, "instances", 3, "number of controllers")
	f.IntVar(&scenario.Proxies, "relays", 60, "number of proxies")
	f.IntVar(&scenario.Backends, "workers", 12, "number of backends")
	f.Uint64Var(&scenario.Seed, "seed", 1, "seed of all random choices")
	f.StringVar(&sharing, "sharing", "on",
		"on: controllers share the ownership of proxies; off: baseline without sharing")
	f.BoolVar(&scenario.Fenced, "fenced", false, "proxies request owners' fencing tokens and reject older ones")
	f.BoolVar(&scenario.Disk, "disk", false, "members store the record on disk")
	f.StringVar(&scenario.Faults, "faults", "kill",
		"kinds of faults to choose from, comma-separated: "+strings.Join(rehearse.FaultNames(), ", "))
	f.BoolVar(&asJSON, "json", false, "write the report as JSON")
	f.StringVar(&scenario.Folder, "report", "", "folder for logs and configurations")
	return command
}

// rehearseScenario runs the named scenario. The controllers of the scenario run this executable.
func rehearseScenario(ctx context.Context, scenario *rehearse.Scenario, name, sharing string,
) (*rehearse.Report, error) {
	switch name {
	case rehearse.ScenarioCalm:
		scenario.Calm = true
	case rehearse.ScenarioTakeover:
	default:
		return nil, fmt.Errorf("unknown scenario %q; wheelrill rehearse list shows all scenarios", name)
	}
	switch sharing {
	case "on":
		scenario.Sharing = true
	case "off":
	default:
		return nil, fmt.Errorf("--sharing is %q; give on or off", sharing)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	scenario.Program = program
	scenario.Progress = newProgressWriter(fmt.Sprintf(" of %s", scenario.Duration))
	return scenario.Run(ctx)
}

// writeReport writes a report as text or JSON, and returns the exit code of its verdict.
func writeReport(w io.Writer, r *rehearse.Report, asJSON bool) error {
	if asJSON {
		if err := writeJSON(w, r); err != nil {
			return err
		}
		return verdictError(r.Verdict)
	}
	fmt.Fprintf(w, "%s, seed %d, %d controllers, sharing %v, %d proxies, %.0f s, faults %v\n",
		r.Scenario, r.Seed, r.Controllers, r.Sharing, r.Proxies, r.Seconds, r.Faults)
	fmt.Fprintf(w, "requests with an effect %d, violations by rule %v; longest time with an empty table %.2f s, "+
		"maximum messages to a proxy %d\n", r.Effects, r.ViolationCounts, r.LongestEmptyTable, r.PeakMessages)
	fmt.Fprintf(w, "share of value served in time %.4f; requests %d, lost %d, rejected %d\n", r.ServedValue,
		r.Requests, r.Lost, r.Rejected)
	fmt.Fprintf(w,
		"streams %d, mean lines in the first second of each %.1f; lines %d in %d pushes; pushes rejected as stale %d\n",
		r.StreamsOpened, r.LinesAtConnect, r.Lines, r.Pushes, r.StalePushesRejected)
	fmt.Fprintf(w, "hung backends %d, detected after %.2f s on average, %.2f s at most; attempts sent to them %d; "+
		"backends replaced %d\n", r.Hangs, r.MeanHangDetection, r.MaxHangDetection, r.AttemptsIntoHang,
		r.BackendsReplaced)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "rule %d at %.1f s: %s: %s\n", v.Rule, v.At.Seconds(), v.Subject, v.Text)
	}
	fmt.Fprintf(w, "verdict: %s %s\n", r.Verdict, r.Reason)
	return verdictError(r.Verdict)
}
