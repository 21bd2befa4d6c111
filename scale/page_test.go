package scale

import (
	"os"
	"testing"
)

// TestCapacityPage has each table and each figure of the capacity page be what the kept runs give.
func TestCapacityPage(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	runs, err := Load("../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(string(page), runs); err != nil {
		t.Error(err)
	}
}
