package controller

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// endingsReference matches a reference to a test in docs/endings.md: `folder: TestName/beginning of
// a case...`. A reference without a folder is to a test of package controller, or of the folder of
// the previous reference if package controller has no such test. A reference that begins with dots
// is to another case of the test in the previous reference.
var endingsReference = regexp.MustCompile("`(?:([a-z/]+): )?((?:Test|Fuzz|\\.\\.\\./)[^`]*)`")

// TestEndingsPageNamesTestsThatExist guards against references to tests that were renamed or
// removed: each test and case on that page must exist in its folder.
func TestEndingsPageNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "endings.md"))
	if err != nil {
		t.Fatal(err)
	}
	sources := map[string]string{} // text of all test files of each folder, by folder
	last, lastFolder, count := "", "", 0
	for _, reference := range endingsReference.FindAllStringSubmatch(string(page), -1) {
		folder, name := reference[1], reference[2]
		name, sameTest := strings.CutPrefix(name, ".../")
		test, part, _ := strings.Cut(name, "/")
		switch {
		case sameTest:
			folder, test, part = lastFolder, last, name
		case folder == "" && sources["controller"] != "" && !strings.Contains(sources["controller"], "func "+test+"("):
			folder = lastFolder // the test is in the folder of the previous reference
		case folder == "":
			folder = "controller"
		}
		last, lastFolder = test, folder
		for _, needed := range []string{"controller", folder} {
			if _, ok := sources[needed]; !ok {
				sources[needed] = testSources(t, filepath.Join("..", needed))
			}
		}
		count++
		part = strings.TrimSuffix(part, "...")
		if !strings.Contains(sources[folder], "func "+test+"(") || !strings.Contains(sources[folder], `"`+part) {
			t.Errorf("folder %s: docs/endings.md references %s with a case %q, which does not exist", folder, test, part)
		}
	}
	if count < 40 {
		t.Errorf("only %d references were found on the page, want at least 40", count)
	}
}

// testSources returns the text of all test files in a folder.
func testSources(t *testing.T, folder string) (text string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text += string(source)
	}
	return text
}
