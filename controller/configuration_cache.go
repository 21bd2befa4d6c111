package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/distribution/transport"
)

const (
	cacheFile       = "configuration.cbor"
	cacheFolderMode = os.FileMode(0o700)

	cacheInterval    = 5 * time.Second // minimum time between two writes of the cache file
	cachePauseFactor = 100             // minimum pause after a write, as a multiple of the time that the write took
)

// configurationCache stores a subscriber's configuration in a file, so that the subscriber starts
// with it after a restart and accepts no older version. The file is replaced atomically: after a
// crash it is complete, and at most as old as the pause between two writes (cacheInterval, or
// longer where a write is slow). The goroutine of runCache owns the cache.
type configurationCache struct {
	path  string
	saved distribution.Version // version of the configuration in the file
}

// openConfigurationCache makes a cache in a folder, which it creates if it is missing. It checks
// that a file can be created there.
func openConfigurationCache(folder string) (*configurationCache, error) {
	if err := os.MkdirAll(folder, cacheFolderMode); err != nil {
		return nil, fmt.Errorf("folder: %w; a folder that can be written to is required", err)
	}
	probe, err := os.CreateTemp(folder, cacheFile+".*")
	if err != nil {
		return nil, fmt.Errorf("folder: %w; a folder that can be written to is required", err)
	}
	_ = probe.Close() // an error of Close is ignored, as nothing was written to the file
	return &configurationCache{path: filepath.Join(folder, cacheFile)}, os.Remove(probe.Name())
}

// load reads the file; it returns nil if there is no file. A damaged file stays as it is until the
// next save replaces it.
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

// update saves the configuration of a node of the distribution tree, if its version differs from
// the version in the cache file.
func (c *configurationCache) update(node *transport.Transport) error {
	status, ok := node.Status()
	if !ok || status.Version == c.saved || !status.Version.Epoch.Known() {
		return nil
	}
	state, ok := node.State()
	if !ok {
		return nil
	}
	if err := c.save(state); err != nil {
		return err
	}
	c.saved = state.Version
	return nil
}

// save replaces the file atomically, so that it is complete whenever the process ends.
func (c *configurationCache) save(state distribution.State) error {
	var body bytes.Buffer
	if err := consensus.WriteConfiguration(&body, &state); err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(c.path), cacheFile+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // removes the temporary file if an error prevented the rename
	_, err = file.Write(body.Bytes())
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), c.path)
}

// runCache saves a subscriber's configuration every cacheInterval, and once more when ctx ends. It
// returns after that save, so that the transport, whose state it reads, can stop.
func (d *distributor) runCache(ctx context.Context) {
	if d.cache == nil {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(cacheInterval)
	defer timer.Stop()
	for stopping := false; !stopping; {
		select {
		case <-ctx.Done():
			stopping = true
		case <-timer.C:
		}
		began := time.Now()
		if err := d.cache.update(d.transport); err != nil {
			d.log.Warn("cache_write_failed", "error", err)
		}
		timer.Reset(max(cacheInterval, cachePauseFactor*time.Since(began)))
	}
}
