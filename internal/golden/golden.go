// Package golden compares what a test has made with a file of its testdata folder that an earlier version wrote. It is for
// tests alone.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update is for whoever changes a format on purpose; CI never sets it.
var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails the test at the first line in which the text differs from the file testdata/name. With the flag -update it
// writes the file first.
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

// Updating tells whether golden files are written anew, for tests that keep other files than texts.
func Updating() bool { return *update }

// lineAt is a line, or a word for none.
func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no line)"
	}
	return lines[i]
}
