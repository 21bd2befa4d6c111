package controller

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// endingsReference is a test that docs/endings.md names: `folder: TestName/beginning of a case...`, of controller where no folder
// stands, of the test named before where it begins with dots.
var endingsReference = regexp.MustCompile("`(?:([a-z/]+): )?((?:Test|Fuzz|\\.\\.\\./)[^`]*)`")

// TestEndingsPageNamesTestsThatExist has each test and case on that page be found in its folder.
func TestEndingsPageNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "endings.md"))
	if err != nil {
		t.Fatal(err)
	}
	sources := map[string]string{} // by folder: all of its tests
	last, lastFolder, count := "", "", 0
	for _, reference := range endingsReference.FindAllStringSubmatch(string(page), -1) {
		folder, name := reference[1], reference[2]
		name, sameTest := strings.CutPrefix(name, ".../")
		test, part, _ := strings.Cut(name, "/")
		switch {
		case sameTest:
			folder, test, part = lastFolder, last, name
		case folder == "" && sources["controller"] != "" && !strings.Contains(sources["controller"], "func "+test+"("):
			folder = lastFolder // of the folder named before it
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
			t.Errorf("%s: there is no %s with a case %q", folder, test, part)
		}
	}
	if count < 40 {
		t.Errorf("only %d tests were found on the page", count)
	}
}

// testSources gives the text of a folder's test files.
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
