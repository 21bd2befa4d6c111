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

	cacheInterval    = 5 * time.Second // that what has changed is written ...
	cachePauseFactor = 100             // ... and no sooner than so many times what the last writing took
)

// configurationCache keeps a subscriber's configuration in a file, so that a restart begins with it, and takes nothing older. The file
// is replaced in one step: after a crash it is complete, and cacheInterval old at most. runCache's goroutine owns it.
type configurationCache struct {
	path  string
	saved distribution.Version // what the file has
}

// openConfigurationCache makes a cache in a folder, if that can be written to.
func openConfigurationCache(folder string) (*configurationCache, error) {
	if err := os.MkdirAll(folder, cacheFolderMode); err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	probe, err := os.CreateTemp(folder, cacheFile+".*")
	if err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	_ = probe.Close() // nothing was written to it
	return &configurationCache{path: filepath.Join(folder, cacheFile)}, os.Remove(probe.Name())
}

// load reads the file; nil where there is none. One that is damaged is left as it is, until the next writing replaces it.
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

// update writes what a node of the tree has, if that has moved on since.
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

// save replaces the file in one step, so that it is complete whenever the process ends.
func (c *configurationCache) save(state distribution.State) error {
	var body bytes.Buffer
	if err := consensus.WriteConfiguration(&body, &state); err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(c.path), cacheFile+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // where it did not come to the renaming
	_, err = file.Write(body.Bytes())
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), c.path)
}

// runCache writes what a subscriber has each cacheInterval, and at the end of the context. It returns then, so that the transport,
// which is asked for it, can end.
func (d *distributor) runCache(ctx context.Context) {
	if d.cache == nil {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(cacheInterval)
	defer timer.Stop()
	for ended := false; !ended; {
		select {
		case <-ctx.Done():
			ended = true
		case <-timer.C:
		}
		began := time.Now()
		if err := d.cache.update(d.transport); err != nil {
			d.log.Warn("cache_write_failed", "error", err)
		}
		timer.Reset(max(cacheInterval, cachePauseFactor*time.Since(began)))
	}
}
