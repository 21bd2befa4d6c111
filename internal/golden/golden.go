// Package golden compares the output of a test with a file in the testdata folder that an earlier
// version wrote. Only tests use it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update is the flag -update, for intended changes of a format; CI never sets it.
var update = flag.Bool("update", false, "overwrite the golden files with the current output")

// Compare compares a text with the file testdata/name, and fails the test with the first line that
// differs. With the flag -update, it first overwrites the file with the text.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i)
		if gotLine != wantLine {
			t.Fatalf("%s differs from line %d on:\n got %s\nwant %s", path, i+1, gotLine, wantLine)
		}
	}
}

// Updating reports whether the flag -update is set, for tests whose golden files are not texts.
func Updating() bool { return *update }

// lineAt returns the line at an index, or a placeholder if there is no such line.
func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no line)"
	}
	return lines[i]
}
