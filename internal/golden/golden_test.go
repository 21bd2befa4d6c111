package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recorder is a testing.TB that records its first failure instead of failing.
type recorder struct {
	testing.TB
	failure string
}

func (r *recorder) Helper() {}

func (r *recorder) Fatalf(format string, args ...any) {
	if r.failure == "" {
		r.failure = fmt.Sprintf(format, args...)
	}
}

// TestCompareNamesTheFirstLineThatDiffers guards against a comparison that accepts a different
// text, or names a wrong line.
func TestCompareNamesTheFirstLineThatDiffers(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join("testdata", "file"), []byte("a\nb\nc"), 0o644); err != nil {
		t.Fatal(err)
	}
	for got, want := range map[string]string{"a\nb\nc": "", "a\nx\nc": "line 2", "a\nb": "line 3",
		"a\nb\nc\nd": "line 4"} {
		r := &recorder{TB: t}
		Compare(r, "file", got)
		if (r.failure == "") != (want == "") || !strings.Contains(r.failure, want) {
			t.Errorf("Compare with %q failed with %q, want a failure that contains %q, or none if that is empty",
				got, r.failure, want)
		}
	}
}
