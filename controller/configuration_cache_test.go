package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wheelrill/distribution"
)

func TestConfigurationCache(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new")
	k, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if state, err := k.load(); state != nil || err != nil {
		t.Errorf("kept before anything was: %v, %v", state, err)
	}
	state := distribution.State{Version: distribution.Version{Epoch: distribution.Epoch{Number: 4}, Revision: 7},
		Covered: distribution.SomeScopes("pricing"), Horizon: 2, Entries: []distribution.Entry{distributedEntry("drain/s-1", "true", 5)}}
	if err := k.save(state); err != nil {
		t.Fatal(err)
	}
	again, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := again.load(); err != nil || fmt.Sprint(*got) != fmt.Sprint(state) || again.saved != state.Version {
		t.Errorf("got %+v, %v", got, err)
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) != 1 {
		t.Errorf("left in the folder: %v, %v", left, err)
	}
	if err := os.WriteFile(filepath.Join(folder, cacheFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := again.load(); err == nil || got != nil || !strings.Contains(err.Error(), cacheFile) {
		t.Errorf("got %+v, %v", got, err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openConfigurationCache(file); err == nil || !strings.Contains(err.Error(), "folder") {
		t.Errorf("a file for a folder: %v", err)
	}
}

// A subscriber that starts again while nobody can be reached goes on with what it had.
func TestSubscriberBeginsWithItsCacheAfterARestart(t *testing.T) {
	known := listJSON(1, true, endpointJSON(0, "up"), endpointJSON(1, "up"))
	members, voters := runVoters(t, known, "n0", "n1")
	with := DistributionConfig{Parents: members, Folder: t.TempDir()}
	s := runSubscriber(t, "s1", known, with)
	voters[0].reload(t, known, `{"pricing":{"drain":{"s-1":true}}}`)
	s.logged.waitFor(t, "msg=configuration_applied revision=1", 1)
	s.stop()
	for _, v := range voters {
		v.stop()
	}
	s = runSubscriber(t, "s1", known, with)
	s.logged.waitFor(t, "msg=cache_loaded revision=1", 1)
	s.logged.waitFor(t, "msg=configuration_applied revision=1 full=true backends=1 drained=1", 1)
}
