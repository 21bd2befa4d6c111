package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"wheelrill/internal/golden"
	"wheelrill/rehearse"
	"wheelrill/scale/results"
)

// describeCommand returns the path, the usage, and the flags with types and defaults of a command
// and its subcommands.
func describeCommand(c *cobra.Command) string {
	text := fmt.Sprintf("%s (%s)\n", c.CommandPath(), c.Use)
	c.LocalFlags().VisitAll(func(f *pflag.Flag) {
		text += fmt.Sprintf("  --%s %s, short %q, default %q\n", f.Name, f.Value.Type(), f.Shorthand, f.DefValue)
	})
	for _, subcommand := range c.Commands() {
		text += describeCommand(subcommand)
	}
	return text
}

// TestCommandsAndFlagsMatchGoldenFile guards against a renamed or removed command or flag, and a
// changed default.
func TestCommandsAndFlagsMatchGoldenFile(t *testing.T) {
	golden.Compare(t, "commands.golden", describeCommand(newRootCommand(t.Context(), nil)))
}

// TestExitCodesMatchGoldenFile guards against a changed exit code. It runs the program with
// arguments that make it exit at once.
func TestExitCodesMatchGoldenFile(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	savedRuns, page := "../../docs/capacity", file("page.md", "<!-- scale report record -->\n<!-- end -->\n")
	unknown, refused := file("unknown.md", "<!-- scale report none -->\n<!-- end -->\n"),
		file("refused.yaml", "shares: 1\n")
	text := ""
	for _, args := range [][]string{
		{"--help"}, {"nothing"}, {"--nothing"}, {}, {"serve", "more"}, {"serve", "--options", "no/such.yaml"},
		{"serve", "--options", refused},
		{"rehearse"}, {"rehearse", "list"}, {"rehearse", "run"}, {"rehearse", "run", "nothing"},
		{"rehearse", "run", "calm", "--sharing", "some"},
		{"rehearse", "run", "takeover", "--instances", "1"}, {"rehearse", "run", "takeover", "--faults", "fire"},
		{"rehearse", "run", "takeover", "--for", "x"},
		{"scale"}, {"scale", "list"}, {"scale", "run"}, {"scale", "run", "nothing"},
		{"scale", "run", "record", "--for", "5s"},
		{"scale", "run", "record", "--sizes", "200"}, {"scale", "run", "record", "--sizes", "x"},
		{"scale", "report", "--runs", folder},
		{"scale", "report", "--runs", savedRuns, "--json"}, {"scale", "report", "--runs", savedRuns, "--check", page},
		{"scale", "report", "--runs", savedRuns, "--check", unknown},
		{"scale", "report", "--runs", savedRuns, "--check", "none.md"},
		{"scale", "report", "--runs", savedRuns, "--write", unknown},
		{"scale", "report", "--runs", savedRuns, "--write", page},
		{"scale", "report", "--runs", savedRuns, "--check", page},
		{"scale", "report", "--runs", savedRuns, "--check", page, "--write", page},
	} {
		c := exec.Command(program, args...)
		c.Env = append(os.Environ(), runAsProgramEnv+"=yes", "LB_CONFIG=")
		err := c.Run()
		var exitError *exec.ExitError
		if err != nil && !errors.As(err, &exitError) {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%s: %d\n", strings.ReplaceAll(strings.Join(append([]string{"wheelrill"}, args...), " "),
			folder, "FOLDER"), c.ProcessState.ExitCode())
	}
	for _, verdict := range []rehearse.Verdict{
		rehearse.VerdictPassed, rehearse.VerdictViolated, rehearse.VerdictInconclusive, "another",
	} {
		code, err := exitCode(0), verdictError(verdict)
		if err != nil && !errors.As(err, &code) {
			t.Fatal(err)
		}
		text += fmt.Sprintf("verdict %q: %d\n", verdict, code)
	}
	golden.Compare(t, "exits.golden", text)
}

// fillFields sets every exported field of a value, at any depth, to a value that is not zero.
func fillFields(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillFields(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillFields(key)
		fillFields(value)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("word")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Uint8, reflect.Uint64, reflect.Float64:
		v.Set(reflect.ValueOf(7).Convert(v.Type()))
	}
}

// TestReportsMatchGoldenFiles guards against a renamed or missing key in the JSON of a rehearsal
// report and of a measurement run. All fields of both are set.
func TestReportsMatchGoldenFiles(t *testing.T) {
	report, run := &rehearse.Report{}, &results.Run{}
	fillFields(reflect.ValueOf(report).Elem())
	fillFields(reflect.ValueOf(run).Elem())
	report.Verdict = rehearse.VerdictPassed
	var reportText, runText bytes.Buffer
	if err := writeReport(&reportText, report, true); err != nil {
		t.Fatal(err)
	}
	if err := writeRun(&runText, run, true); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "rehearsal.json", reportText.String())
	golden.Compare(t, "run.json", runText.String())
}

// collectKeys adds the paths of all keys in an object to a set. The paths leave out the indices of
// list items.
func collectKeys(path string, v any, to map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			to[path+"."+key] = true
			collectKeys(path+"."+key, item, to)
		}
	case []any:
		for _, item := range v {
			collectKeys(path+"[]", item, to)
		}
	}
}

// TestSavedRunsKeepTheirKeysAndValues guards against a change of the format of runs that loses data
// of saved runs. It loads all saved runs of the checkout, saves them again, and compares keys and
// values.
func TestSavedRunsKeepTheirKeysAndValues(t *testing.T) {
	const folder = "../../docs/capacity"
	runs, err := results.Load(folder)
	if err != nil || len(runs) < 20 {
		t.Fatalf("%d saved runs in %s, error %v; want at least 20", len(runs), folder, err)
	}
	copyFolder := t.TempDir()
	for _, r := range runs {
		path, err := r.Save(copyFolder)
		if err != nil {
			t.Fatal(err)
		}
		var before, after any
		for file, to := range map[string]*any{filepath.Join(folder, r.Name+".json"): &before, path: &after} {
			body, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(body, to); err != nil {
				t.Fatalf("%s: %v", file, err)
			}
		}
		savedKeys, copiedKeys := map[string]bool{}, map[string]bool{}
		collectKeys("", before, savedKeys)
		collectKeys("", after, copiedKeys)
		if !reflect.DeepEqual(savedKeys, copiedKeys) {
			t.Errorf("%s: saved keys %v, keys after saving again %v", r.Name, savedKeys, copiedKeys)
		}
		if !reflect.DeepEqual(before, after) {
			t.Errorf("%s: values differ after saving the run again", r.Name)
		}
	}
}

// TestDeployFileNamesExistingFiles guards against a deploy/balancer.toml that starts or lists files
// that are not in the checkout, and against added, renamed or missing keys there.
func TestDeployFileNamesExistingFiles(t *testing.T) {
	body, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for line := range strings.Lines(string(body)) {
		key, value, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		keys = append(keys, key)
		value, _, _ = strings.Cut(value, "   #")
		switch key {
		case "run", "sim":
			program := strings.TrimPrefix(strings.Trim(value, "\""), "exec bin/")
			if _, err := os.Stat("../../cmd/" + program + "/main.go"); err != nil {
				t.Errorf("%s = %s: %v", key, value, err)
			}
		case "policy", "node":
			var paths []string
			if err := json.Unmarshal([]byte(value), &paths); err != nil || len(paths) == 0 {
				t.Errorf("%s = %s: %v", key, value, err)
			}
			for _, path := range paths {
				if _, err := os.Stat("../../" + path); err != nil {
					t.Errorf("%s: %v", key, err)
				}
			}
		}
	}
	if want := []string{"build", "run", "sim", "policy", "node", "packages"}; !slices.Equal(keys, want) {
		t.Errorf("keys of deploy/balancer.toml are %v, want %v", keys, want)
	}
}
