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
	cache, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if state, err := cache.load(); state != nil || err != nil {
		t.Errorf("load of a new cache returned state %v, error %v; want neither", state, err)
	}
	state := distribution.State{Version: distribution.Version{Epoch: distribution.Epoch{Number: 4}, Revision: 7},
		Covered: distribution.SomeScopes("pricing"), Horizon: 2,
		Entries: []distribution.Entry{distributedEntry("drain/s-1", "true", 5)}}
	if err := cache.save(state); err != nil {
		t.Fatal(err)
	}
	reopened, err := openConfigurationCache(folder)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := reopened.load(); err != nil || fmt.Sprint(*got) != fmt.Sprint(state) ||
		reopened.saved != state.Version {
		t.Errorf("load returned %+v, error %v, version %+v; want the saved state %+v", got, err, reopened.saved, state)
	}
	if files, err := os.ReadDir(folder); err != nil || len(files) != 1 {
		t.Errorf("the folder should contain one file, has %v, error %v", files, err)
	}
	if err := os.WriteFile(filepath.Join(folder, cacheFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := reopened.load(); err == nil || got != nil || !strings.Contains(err.Error(), cacheFile) {
		t.Errorf("load of a damaged file returned %+v, error %v; want an error that names the file", got, err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openConfigurationCache(file); err == nil || !strings.Contains(err.Error(), "folder") {
		t.Errorf("a file was accepted as the folder, or the error does not name the folder: %v", err)
	}
}

// A subscriber that restarts while no parent can be reached has to use its cached configuration.
// Without the cache, drains would end with the restart.
func TestSubscriberUsesItsCacheAfterRestart(t *testing.T) {
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
