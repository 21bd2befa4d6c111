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

// commands runs the program's command line, and gives what it wrote and the code that it ended with.
func commands(t *testing.T, args ...string) (string, exitCode) {
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

func TestScaleRunMeasuresKeepsAndRefuses(t *testing.T) {
	listed, code := commands(t, "scale", "list")
	for _, m := range scale.Measurements() {
		if !strings.Contains(listed, m.Describe().Name) || code != 0 {
			t.Errorf("list lacks %s, or ended with %d:\n%s", m.Describe().Name, code, listed)
		}
	}
	for _, args := range [][]string{{"scale", "run", "nothing"}, {"scale", "run", "record", "--for", "5s"},
		{"scale", "run", "record", "--sizes", "200"}, {"scale", "run", "record", "--sizes", "15"},
		{"scale", "run", "distribution", "--sizes", "10000000"}, {"scale", "run", "record-hollow", "--sizes", "3", "--for", "2h"}} {
		if text, code := commands(t, args...); code != exitInconclusive || text != "" {
			t.Errorf("%v ended with %d and wrote %q", args, code, text)
		}
	}
	folder := t.TempDir()
	text, code := commands(t, "scale", "run", "record-hollow", "--sizes", "3", "--for", "1s", "--out", folder, "--name", "short", "--text", "abc", "--json")
	var run results.Run
	if err := json.Unmarshal([]byte(text), &run); err != nil || run.Revision != "abc" || len(run.Samples) != 1 {
		t.Fatalf("%v in %s", err, text)
	}
	if entries, _ := run.Samples[0].Get("entries_per_s"); entries < 5 {
		t.Errorf("three members put %v entries a second on the record", entries)
	}
	if want := map[rehearse.Verdict]exitCode{results.VerdictPassed: 0, results.VerdictViolated: exitViolated, results.VerdictInconclusive: exitInconclusive}[run.Verdict]; code != want {
		t.Errorf("verdict %s ended with %d", run.Verdict, code)
	}
	if kept, err := results.Load(folder); err != nil || len(kept) != 1 || kept[0].Name != "short" {
		t.Errorf("kept: %v, %v", kept, err)
	}
}

func TestScaleReportChecksAndWritesPages(t *testing.T) {
	folder := t.TempDir()
	run := &results.Run{Name: "one", About: "One", SizeUnit: "members", Metrics: []results.Metric{{Name: "bytes", Unit: "bytes/s", About: "bytes"}}}
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
		return commands(t, append([]string{"scale", "report", "--runs", folder}, args...)...)
	}
	write("<!-- scale report one -->\n<!-- end -->\n")
	if _, code := report("--check", page); code != exitViolated {
		t.Errorf("a page without its table ended with %d", code)
	}
	if _, code := report("--write", page); code != 0 {
		t.Errorf("--write ended with %d", code)
	}
	if _, code := report("--check", page); code != 0 {
		t.Errorf("a page just written ended with %d", code)
	}
	if text, code := report(); code != 0 || !strings.Contains(text, "| bytes, bytes/s | 1,230 |") {
		t.Errorf("ended with %d:\n%s", code, text)
	}
	if text, code := report("--json"); code != 0 || !json.Valid([]byte(text)) {
		t.Errorf("--json ended with %d:\n%s", code, text)
	}
	if _, code := report("--refit"); code != 0 {
		t.Errorf("--refit ended with %d", code)
	}
	if again, err := results.Load(folder); err != nil || again[0].Verdict != results.VerdictPassed {
		t.Errorf("a run without a verdict was made %+v, %v", again, err)
	}
	write("<!-- scale report none -->\n<!-- end -->\n")
	for _, args := range [][]string{{"--check", page}, {"--write", page}, {"--check", page, "--write", page},
		{"--check", filepath.Join(folder, "none")}, {"--runs", t.TempDir()}} {
		if _, code := report(args...); code == 0 {
			t.Errorf("%v ended with 0", args)
		}
	}
}
