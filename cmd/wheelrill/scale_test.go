package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wheelrill/rehearse"
	"wheelrill/scale"
	"wheelrill/scale/results"
)

// runCommand runs the command line in this process. It returns the output and the exit code.
func runCommand(t *testing.T, args ...string) (string, exitCode) {
	t.Helper()
	root := newRootCommand(t.Context(), nil)
	var text bytes.Buffer
	root.SetOut(&text)
	root.SetArgs(args)
	err := root.Execute()
	var code exitCode
	if err != nil && !errors.As(err, &code) {
		t.Fatalf("%v: %v", args, err)
	}
	return text.String(), code
}

// TestScaleRunSavesRunsAndRefusesArguments guards against a missing measurement in scale list,
// unusable arguments that are accepted, and a run that is not saved or whose exit code does not
// match its verdict.
func TestScaleRunSavesRunsAndRefusesArguments(t *testing.T) {
	list, code := runCommand(t, "scale", "list")
	for _, m := range scale.Measurements() {
		if !strings.Contains(list, m.Describe().Name) || code != 0 {
			t.Errorf("scale list lacks %s, or exited with %d:\n%s", m.Describe().Name, code, list)
		}
	}
	for _, args := range [][]string{{"scale", "run", "nothing"}, {"scale", "run", "record", "--for", "5s"},
		{"scale", "run", "record", "--sizes", "200"}, {"scale", "run", "record", "--sizes", "15"},
		{"scale", "run", "distribution", "--sizes", "10000000"},
		{"scale", "run", "record-hollow", "--sizes", "3", "--for", "2h"}} {
		if text, code := runCommand(t, args...); code != exitInconclusive || text != "" {
			t.Errorf("%v exited with %d and wrote %q, want code %d and no output", args, code, text, exitInconclusive)
		}
	}
	folder := t.TempDir()
	text, code := runCommand(t, "scale", "run", "record-hollow", "--sizes", "3", "--for", "1s", "--out", folder,
		"--name", "short", "--text", "abc", "--json")
	var run results.Run
	if err := json.Unmarshal([]byte(text), &run); err != nil || run.Revision != "abc" || len(run.Samples) != 1 {
		t.Fatalf("error %v, want JSON of a run of commit abc with one sample: %s", err, text)
	}
	if entries, _ := run.Samples[0].Get("entries_per_s"); entries < 5 {
		t.Errorf("three members appended %v entries per second to the record, want at least 5", entries)
	}
	if want := map[rehearse.Verdict]exitCode{results.VerdictPassed: 0, results.VerdictViolated: exitViolated,
		results.VerdictInconclusive: exitInconclusive}[run.Verdict]; code != want {
		t.Errorf("verdict %s exited with %d, want %d", run.Verdict, code, want)
	}
	if saved, err := results.Load(folder); err != nil || len(saved) != 1 || saved[0].Name != "short" {
		t.Errorf("saved runs %v, error %v; want one named short", saved, err)
	}
}

// TestScaleReportChecksAndWritesPages guards against --check accepting a page that differs from the
// runs, --write leaving such a page, and unusable arguments that are accepted.
func TestScaleReportChecksAndWritesPages(t *testing.T) {
	folder := t.TempDir()
	run := &results.Run{Name: "one", About: "One", SizeUnit: "members",
		Metrics: []results.Metric{{Name: "bytes", Unit: "bytes/s", About: "bytes"}}}
	s := results.Sample{Size: 3}
	s.Set("bytes", 1234)
	run.Samples = append(run.Samples, s)
	if _, err := run.Save(folder); err != nil {
		t.Fatal(err)
	}
	page := filepath.Join(folder, "PAGE.md")
	write := func(text string) {
		if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	report := func(args ...string) (string, exitCode) {
		return runCommand(t, append([]string{"scale", "report", "--runs", folder}, args...)...)
	}
	write("<!-- scale report one -->\n<!-- end -->\n")
	if _, code := report("--check", page); code != exitViolated {
		t.Errorf("--check of a page without its table exited with %d, want %d", code, exitViolated)
	}
	if _, code := report("--write", page); code != 0 {
		t.Errorf("--write exited with %d, want 0", code)
	}
	if _, code := report("--check", page); code != 0 {
		t.Errorf("--check of a page just written exited with %d, want 0", code)
	}
	if text, code := report(); code != 0 || !strings.Contains(text, "| bytes, bytes/s | 1,230 |") {
		t.Errorf("scale report exited with %d, want 0 and the value 1,230:\n%s", code, text)
	}
	if text, code := report("--json"); code != 0 || !json.Valid([]byte(text)) {
		t.Errorf("--json exited with %d, want 0 and valid JSON:\n%s", code, text)
	}
	if _, code := report("--refit"); code != 0 {
		t.Errorf("--refit exited with %d, want 0", code)
	}
	if refitted, err := results.Load(folder); err != nil || refitted[0].Verdict != results.VerdictPassed {
		t.Errorf("--refit saved %+v, error %v; want the verdict passed", refitted, err)
	}
	write("<!-- scale report none -->\n<!-- end -->\n")
	for _, args := range [][]string{{"--check", page}, {"--write", page}, {"--check", page, "--write", page},
		{"--check", filepath.Join(folder, "none")}, {"--runs", t.TempDir()}} {
		if _, code := report(args...); code == 0 {
			t.Errorf("%v exited with 0, want another code", args)
		}
	}
}
