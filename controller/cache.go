package controller

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

// configurationCache keeps a subscriber's configuration in a file, so that a restart begins with it, and takes nothing older.
type configurationCache struct {
	path  string
	saved distribution.Version // as written
}

const (
	cacheFile       = "configuration.cbor"
	cacheFolderMode = os.FileMode(0o700)
)

// openConfigurationCache checks that a folder can be written to.
func openConfigurationCache(folder string) (*configurationCache, error) {
	if err := os.MkdirAll(folder, cacheFolderMode); err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	probe, err := os.CreateTemp(folder, cacheFile+".*")
	if err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	probe.Close()
	return &configurationCache{path: filepath.Join(folder, cacheFile)}, os.Remove(probe.Name())
}

// load reads what was kept; nil where nothing was.
func (c *configurationCache) load() (*distribution.State, error) {
	body, err := os.ReadFile(c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := consensus.ReadConfiguration(body)
	if err != nil {
		return nil, fmt.Errorf("%s: damaged: %w", c.path, err)
	}
	if state != nil {
		c.saved = state.Version
	}
	return state, nil
}

// update writes what the carrier has, if that has moved on since.
func (c *configurationCache) update(carrier *transport.Transport) error {
	status, ok := carrier.Status()
	if !ok || status.Version == c.saved || !status.Version.Epoch.Known() {
		return nil
	}
	state, ok := carrier.State()
	if !ok {
		return nil
	}
	if err := c.save(state); err != nil {
		return err
	}
	c.saved = state.Version
	return nil
}

// save replaces the file in one step, so that it is whole whenever the process ends.
func (c *configurationCache) save(state distribution.State) error {
	var body bytes.Buffer
	if err := consensus.WriteConfiguration(&body, &state); err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(c.path), cacheFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // where it did not come to the renaming
	_, err = file.Write(body.Bytes())
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), c.path)
}
