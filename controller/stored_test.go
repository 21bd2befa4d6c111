package controller

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"wheelrill/distribution"
	"wheelrill/internal/golden"
)

// storedFile is the name of the file in a subscriber's folder. The name is part of the stored
// format.
const storedFile = "configuration.cbor"

// storedFolder is a subscriber's folder that an earlier version wrote.
var storedFolder = filepath.Join("testdata", "stored-subscriber")

// storedState is the state in the stored folder: more entries than are encoded at a time, some of
// them set again or deleted, with an epoch and a revision.
func storedState(t *testing.T) distribution.State {
	t.Helper()
	record := distribution.NewRecord()
	accept := func(entries ...distribution.Entry) {
		t.Helper()
		proposal := distribution.Proposal{
			Epoch:      distribution.Epoch{Number: 1_764_700_000, Identity: 0x1122334455667788},
			AcceptedAt: 1_764_700_000_000_000 + int64(record.Version().Revision)*1_000_000,
			Entries:    entries,
		}
		if _, err := record.Apply(proposal); err != nil {
			t.Fatal(err)
		}
	}
	var many []distribution.Entry
	for i := range 1100 {
		name := fmt.Sprintf("weight/s-%04d", i)
		many = append(many, distribution.Entry{Scope: "pricing", Name: name, Value: []byte("0.5")})
	}
	accept(many...)
	accept(distribution.Entry{Scope: "orders", Name: "drain/s-1", Value: []byte("true")},
		distribution.Entry{Scope: "orders", Name: "limit/lookup", Value: []byte("1200")})
	accept(distribution.Entry{Scope: "orders", Name: "drain/s-1", Deleted: true},
		distribution.Entry{Scope: "pricing", Name: "weight/s-0007", Value: []byte("0.25")})
	accept(distribution.Entry{Scope: "pricing", Name: "weight/s-0008", Deleted: true})
	state := record.State()
	state.Covered = distribution.SomeScopes("orders", "pricing")
	state.Horizon = 1
	return state
}

// storedCopy copies the stored folder to a temporary folder that the test may write to.
func storedCopy(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "folder")
	if err := os.CopyFS(folder, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A change of the stored format would make a subscriber ignore the file that it wrote before an
// update. A folder of an earlier version has to be read completely, and written with the same
// bytes.
func TestStoredFolderFormatIsUnchanged(t *testing.T) {
	want := storedState(t)
	if golden.Updating() {
		cache, err := openConfigurationCache(storedFolder)
		if err != nil {
			t.Fatal(err)
		}
		if err := cache.save(want); err != nil {
			t.Fatal(err)
		}
	}
	folder := storedCopy(t)
	cache, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	got, err := cache.load()
	if err != nil || got == nil {
		t.Fatalf("load returned %v, error %v", got, err)
	}
	if !reflect.DeepEqual(*got, want) || cache.saved != want.Version {
		t.Errorf("read version %+v (saved %+v) with %d entries, want %+v with %d entries",
			got.Version, cache.saved, len(got.Entries), want.Version, len(want.Entries))
	}
	path := filepath.Join(folder, storedFile)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := cache.save(*got); err != nil {
		t.Fatal(err)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, before) {
		t.Errorf("%d bytes were written, want the same %d bytes; error %v", len(after), len(before), err)
	}
}

// A truncated file must not be read in part, as the drains and weights of the entries that it lacks
// would end. load refuses the file as a whole and leaves it unchanged; the next save replaces it.
func TestTruncatedStoredFileIsRefused(t *testing.T) {
	folder := storedCopy(t)
	path := filepath.Join(folder, storedFile)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	truncated := complete[:len(complete)/2]
	if err := os.WriteFile(path, truncated, 0o600); err != nil {
		t.Fatal(err)
	}
	cache, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	got, err := cache.load()
	if got != nil || err == nil || !strings.Contains(err.Error(), path+": damaged: ") {
		t.Errorf("load returned %+v, error %v", got, err)
	}
	if remaining, err := os.ReadFile(path); err != nil || !bytes.Equal(remaining, truncated) ||
		cache.saved != (distribution.Version{}) {
		t.Errorf("the file has %d bytes, want %d unchanged ones; saved %+v, error %v",
			len(remaining), len(truncated), cache.saved, err)
	}
	if err := cache.save(storedState(t)); err != nil {
		t.Fatal(err)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, complete) {
		t.Errorf("the file has %d bytes after the next save, error %v", len(after), err)
	}
}
