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

// described gives a command, its flags with types and defaults, and the commands under it.
func described(c *cobra.Command) string {
	text := fmt.Sprintf("%s (%s)\n", c.CommandPath(), c.Use)
	c.LocalFlags().VisitAll(func(f *pflag.Flag) {
		text += fmt.Sprintf("  --%s %s, short %q, default %q\n", f.Name, f.Value.Type(), f.Shorthand, f.DefValue)
	})
	for _, under := range c.Commands() {
		text += described(under)
	}
	return text
}

// TestCommandsAndFlagsAreAsBefore keeps each command, flag and default.
func TestCommandsAndFlagsAreAsBefore(t *testing.T) {
	golden.Compare(t, "commands.golden", described(newRootCommand(t.Context(), nil)))
}

// TestExitCodesAreAsBefore runs the program with arguments that end at once, and keeps the code of each.
func TestExitCodesAreAsBefore(t *testing.T) {
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
	kept, page := "../../docs/capacity", file("page.md", "<!-- scale report record -->\n<!-- end -->\n")
	unknown, refused := file("unknown.md", "<!-- scale report none -->\n<!-- end -->\n"), file("refused.yaml", "shares: 1\n")
	text := ""
	for _, args := range [][]string{
		{"--help"}, {"nothing"}, {"--nothing"}, {}, {"serve", "more"}, {"serve", "--options", "no/such.yaml"}, {"serve", "--options", refused},
		{"rehearse"}, {"rehearse", "list"}, {"rehearse", "run"}, {"rehearse", "run", "nothing"}, {"rehearse", "run", "calm", "--sharing", "some"},
		{"rehearse", "run", "takeover", "--instances", "1"}, {"rehearse", "run", "takeover", "--faults", "fire"}, {"rehearse", "run", "takeover", "--for", "x"},
		{"scale"}, {"scale", "list"}, {"scale", "run"}, {"scale", "run", "nothing"}, {"scale", "run", "record", "--for", "5s"},
		{"scale", "run", "record", "--sizes", "200"}, {"scale", "run", "record", "--sizes", "x"}, {"scale", "report", "--runs", folder},
		{"scale", "report", "--runs", kept, "--json"}, {"scale", "report", "--runs", kept, "--check", page},
		{"scale", "report", "--runs", kept, "--check", unknown}, {"scale", "report", "--runs", kept, "--check", "none.md"},
		{"scale", "report", "--runs", kept, "--write", unknown}, {"scale", "report", "--runs", kept, "--write", page},
		{"scale", "report", "--runs", kept, "--check", page}, {"scale", "report", "--runs", kept, "--check", page, "--write", page},
	} {
		c := exec.Command(program, args...)
		c.Env = append(os.Environ(), asProgram+"=yes", "LB_CONFIG=")
		err := c.Run()
		var ended *exec.ExitError
		if err != nil && !errors.As(err, &ended) {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%s: %d\n", strings.ReplaceAll(strings.Join(append([]string{"wheelrill"}, args...), " "), folder, "FOLDER"), c.ProcessState.ExitCode())
	}
	for _, verdict := range []rehearse.Verdict{rehearse.VerdictPassed, rehearse.VerdictViolated, rehearse.VerdictInconclusive, "another"} {
		code, err := exitCode(0), verdictError(verdict)
		if err != nil && !errors.As(err, &code) {
			t.Fatal(err)
		}
		text += fmt.Sprintf("verdict %q: %d\n", verdict, code)
	}
	golden.Compare(t, "exits.golden", text)
}

// fill gives each field that can be written a value other than none.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("word")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Uint8, reflect.Uint64, reflect.Float64:
		v.Set(reflect.ValueOf(7).Convert(v.Type()))
	}
}

// TestReportsAreWrittenAsBefore keeps what --json writes of a rehearsal and of a measurement, with all fields given.
func TestReportsAreWrittenAsBefore(t *testing.T) {
	report, run := &rehearse.Report{}, &results.Run{}
	fill(reflect.ValueOf(report).Elem())
	fill(reflect.ValueOf(run).Elem())
	report.Verdict = rehearse.VerdictPassed
	var rehearsed, measured bytes.Buffer
	if err := writeReport(&rehearsed, report, true); err != nil {
		t.Fatal(err)
	}
	if err := writeRun(&measured, run, true); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "rehearsal.json", rehearsed.String())
	golden.Compare(t, "run.json", measured.String())
}

// keysOf gives the paths of an object's keys, without the numbers of items.
func keysOf(path string, v any, to map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			to[path+"."+key] = true
			keysOf(path+"."+key, item, to)
		}
	case []any:
		for _, item := range v {
			keysOf(path+"[]", item, to)
		}
	}
}

// TestKeptRunsAreReadAsBefore reads every kept run of the checkout, and writes it again with the same keys and values.
func TestKeptRunsAreReadAsBefore(t *testing.T) {
	const folder = "../../docs/capacity"
	runs, err := results.Load(folder)
	if err != nil || len(runs) < 20 {
		t.Fatalf("%d runs are kept, %v", len(runs), err)
	}
	again := t.TempDir()
	for _, r := range runs {
		path, err := r.Save(again)
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
		was, is := map[string]bool{}, map[string]bool{}
		keysOf("", before, was)
		keysOf("", after, is)
		if !reflect.DeepEqual(was, is) {
			t.Errorf("%s: keys were %v and are %v", r.Name, was, is)
		}
		if !reflect.DeepEqual(before, after) {
			t.Errorf("%s: values differ once it is written again", r.Name)
		}
	}
}

// TestDeployFileNamesWhatIsThere holds that what deploy/balancer.toml starts and lists is in the checkout, and that it
// has the keys that it had.
func TestDeployFileNamesWhatIsThere(t *testing.T) {
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
		t.Errorf("keys %v, not %v", keys, want)
	}
}
