package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheelrill/invariant"
	"wheelrill/rehearse"
)

// runAsProgramEnv is an environment variable that makes the test binary run main, for tests that
// start the program.
const runAsProgramEnv = "WHEELRILL_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestRulesHoldWhileControllersFail guards against violations of the rules while real controllers
// are killed, frozen or partitioned. It runs short scenarios; a run without a verdict is skipped.
func TestRulesHoldWhileControllersFail(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(runAsProgramEnv, "yes")
	for _, c := range []struct {
		name     string
		scenario rehearse.Scenario
	}{
		{"members are killed", rehearse.Scenario{Sharing: true, Fenced: true}},
		{"members freeze, are partitioned in one direction and leave",
			rehearse.Scenario{Sharing: true, Faults: "freeze,half,leave"}},
		{"two members fail at once, and no majority is left",
			rehearse.Scenario{Sharing: true, Fenced: true, Faults: "pair,split"}},
		{"controllers do not share ownership", rehearse.Scenario{}},
		{"no fault is injected", rehearse.Scenario{Sharing: true, Calm: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := c.scenario
			p.Duration, p.FaultInterval = 6*time.Second, 2*time.Second
			p.Controllers, p.Proxies, p.Backends, p.Seed = 3, 12, 4, 3
			p.Program, p.Folder = program, t.TempDir()
			report, err := p.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if report.Verdict == rehearse.VerdictInconclusive {
				t.Skip(report.Reason)
			}
			if report.Verdict != rehearse.VerdictPassed || (len(report.Faults) == 0) != p.Calm ||
				report.ServedValue == 0 {
				t.Errorf("report %+v; want the verdict passed, served value, and faults unless calm", report)
			}
		})
	}
}

// TestReportIsWrittenWithTheCodeOfItsVerdict guards against an exit code that does not match the
// verdict, a report without its verdict or violations, and a rehearsal with unusable arguments that
// gets a verdict.
func TestReportIsWrittenWithTheCodeOfItsVerdict(t *testing.T) {
	for verdict, want := range map[rehearse.Verdict]error{
		rehearse.VerdictPassed: nil, rehearse.VerdictViolated: exitCode(1), rehearse.VerdictInconclusive: exitCode(2),
	} {
		report := &rehearse.Report{Scenario: "takeover", Verdict: verdict,
			Violations: []invariant.Violation{{Rule: 2, Subject: "x", Text: "twice"}}}
		var text bytes.Buffer
		if err := writeReport(&text, report, false); err != want ||
			!strings.Contains(text.String(), "verdict: "+string(verdict)) ||
			!strings.Contains(text.String(), "rule 2 at 0.0 s: x: twice") {
			t.Errorf("text with verdict %s: exit error %v, want %v; wrote %s", verdict, err, want, text.String())
		}
		text.Reset()
		var decoded rehearse.Report
		if err := writeReport(&text, report, true); err != want || json.Unmarshal(text.Bytes(), &decoded) != nil ||
			decoded.Verdict != verdict {
			t.Errorf("JSON with verdict %s: exit error %v, want %v; wrote %s", verdict, err, want, text.String())
		}
	}
	for _, args := range [][]string{{"rehearse", "run", "nothing"},
		{"rehearse", "run", "takeover", "--sharing", "some"},
		{"rehearse", "run", "takeover", "--instances", "1"}} {
		root := newRootCommand(t.Context(), nil)
		root.SetArgs(args)
		var code exitCode
		if err := root.Execute(); !errors.As(err, &code) || code != exitInconclusive {
			t.Errorf("%v: exit error %v, want code %d", args, err, exitInconclusive)
		}
	}
}

// TestOptionsFileIsRefusedWithItsLine guards against serve ignoring an options file that is invalid
// or missing.
func TestOptionsFileIsRefusedWithItsLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.yaml")
	if err := os.WriteFile(path, []byte("sharing:\n  member: {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", "../../deploy/sample.json")
	if err := serve(t.Context(), nil, path, nil); err == nil ||
		!strings.Contains(err.Error(), "w.yaml:2: member: unknown field") {
		t.Errorf("an unknown key: got error %v, want one with its line", err)
	}
	if err := serve(t.Context(), nil, "../../deploy/none.yaml", nil); err == nil ||
		!strings.Contains(err.Error(), "cannot be read") {
		t.Errorf("a missing options file: got error %v, want one that it cannot be read", err)
	}
	if shipped, err := os.ReadFile("../../deploy/wheelrill.yaml"); err != nil || len(shipped) == 0 {
		t.Errorf("the shipped options file has %d bytes, error %v", len(shipped), err)
	}
}
