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

// keeper keeps a subscriber's configuration in a file, so that a restart begins with it, and takes nothing older.
type keeper struct {
	path string
	last distribution.Mark // as written
}

const (
	keptFile   = "configuration.cbor"
	keptFolder = os.FileMode(0o700)
)

// newKeeper checks that a folder can be written to.
func newKeeper(folder string) (*keeper, error) {
	if err := os.MkdirAll(folder, keptFolder); err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	probe, err := os.CreateTemp(folder, keptFile+".*")
	if err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	probe.Close()
	return &keeper{path: filepath.Join(folder, keptFile)}, os.Remove(probe.Name())
}

// load reads what was kept; nil where nothing was.
func (k *keeper) load() (*distribution.State, error) {
	body, err := os.ReadFile(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := consensus.ReadConfiguration(body)
	if err != nil {
		return nil, fmt.Errorf("%s: damaged: %w", k.path, err)
	}
	if state != nil {
		k.last = state.Mark
	}
	return state, nil
}

// update writes what the carrier has, if that has moved on since.
func (k *keeper) update(carrier *transport.Carrier) error {
	status, ok := carrier.Status()
	if !ok || status.Mark == k.last || !status.Mark.Epoch.Known() {
		return nil
	}
	state, ok := carrier.State()
	if !ok {
		return nil
	}
	if err := k.save(state); err != nil {
		return err
	}
	k.last = state.Mark
	return nil
}

// save replaces the file in one step, so that it is whole whenever the process ends.
func (k *keeper) save(state distribution.State) error {
	var body bytes.Buffer
	if err := consensus.WriteConfiguration(&body, &state); err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(k.path), keptFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // where it did not come to the renaming
	_, err = file.Write(body.Bytes())
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), k.path)
}
