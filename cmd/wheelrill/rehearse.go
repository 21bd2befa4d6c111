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
	command := &cobra.Command{Use: "rehearse", Short: "Play scenarios against real controllers on this machine"}
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
		Use:     "run NAME",
		Short:   "Play one",
		Long:    "Plays a scenario and judges it. Exit code 0: every rule held; 1: one broke; 2: it could not be judged.",
		Example: "  wheelrill rehearse run takeover --for 60s --kill-every 6s",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			report, err := rehearseScenario(ctx, scenario, args[0], sharing)
			if err != nil {
				return inconclusive(err)
			}
			return writeReport(c.OutOrStdout(), report, asJSON)
		},
	}
	f := command.Flags()
	f.DurationVar(&scenario.Duration, "for", time.Minute, "how long it is played")
	f.DurationVar(&scenario.FaultInterval, "kill-every", 6*time.Second, "time between two faults")
	f.IntVar(&scenario.Controllers, "instances", 3, "controllers")
	f.IntVar(&scenario.Proxies, "relays", 60, "proxies")
	f.IntVar(&scenario.Backends, "workers", 12, "backends")
	f.Uint64Var(&scenario.Seed, "seed", 1, "of all that is drawn")
	f.StringVar(&sharing, "sharing", "on", "on, or off for a baseline")
	f.BoolVar(&scenario.Fenced, "fenced", false, "proxies ask for owners' fencing tokens, and refuse older ones")
	f.BoolVar(&scenario.Disk, "disk", false, "members keep the record on disk")
	f.StringVar(&scenario.Faults, "faults", "kill", "what is drawn from, with commas: "+strings.Join(rehearse.FaultNames(), ", "))
	f.BoolVar(&asJSON, "json", false, "the report as JSON")
	f.StringVar(&scenario.Folder, "report", "", "folder for logs and configurations")
	return command
}

// rehearseScenario plays a scenario by its name with this very program as the controllers.
func rehearseScenario(ctx context.Context, scenario *rehearse.Scenario, name, sharing string) (*rehearse.Report, error) {
	switch name {
	case rehearse.ScenarioCalm:
		scenario.Calm = true
	case rehearse.ScenarioTakeover:
	default:
		return nil, fmt.Errorf("there is no scenario %q; wheelrill rehearse list names them", name)
	}
	switch sharing {
	case "on":
		scenario.Sharing = true
	case "off":
	default:
		return nil, fmt.Errorf("--sharing %q; give on or off", sharing)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	scenario.Program = program
	scenario.Progress = progressSince(fmt.Sprintf(" of %s", scenario.Duration))
	return scenario.Run(ctx)
}

// writeReport writes a report, and ends with the code of its verdict.
func writeReport(to io.Writer, r *rehearse.Report, asJSON bool) error {
	if asJSON {
		if err := writeJSON(to, r); err != nil {
			return err
		}
		return verdictError(r.Verdict)
	}
	fmt.Fprintf(to, "%s, seed %d, %d controllers, sharing %v, %d proxies, %.0f s, faults %v\n", r.Scenario, r.Seed, r.Controllers,
		r.Sharing, r.Proxies, r.Seconds, r.Faults)
	fmt.Fprintf(to, "effects %d, broken rules %v; longest with an empty table %.2f s, most messages to a proxy %d\n", r.Effects,
		r.ViolationCounts, r.LongestEmptyTable, r.PeakMessages)
	fmt.Fprintf(to, "value served in time %.4f of %d requests; lost %d, rejected %d\n", r.ServedValue, r.Requests, r.Lost, r.Rejected)
	fmt.Fprintf(to, "streams begun %d, lines in the first second of each %.1f; all lines %d in %d pushes; rejected as stale %d\n",
		r.StreamsOpened, r.LinesAtConnect, r.Lines, r.Pushes, r.StalePushesRejected)
	fmt.Fprintf(to, "hangs %d, detected after %.2f s in the mean, %.2f s at most; attempts into them %d; backends replaced %d\n", r.Hangs,
		r.MeanHangDetection, r.MaxHangDetection, r.AttemptsIntoHang, r.BackendsReplaced)
	for _, v := range r.Violations {
		fmt.Fprintf(to, "rule %d at %.1f s: %s: %s\n", v.Rule, v.At.Seconds(), v.Subject, v.Text)
	}
	fmt.Fprintf(to, "verdict: %s %s\n", r.Verdict, r.Reason)
	return verdictError(r.Verdict)
}
