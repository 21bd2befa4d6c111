package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// openFolder opens what a member keeps in a folder. A damaged file is an error that says what would do, not a crash: the
// library underneath panics on some, and reads beyond the end of others.
func openFolder(folder string) (store *raftboltdb.BoltStore, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("folder: %w; give one that can be written", err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if why := recover(); why != nil {
			store, err = nil, fmt.Errorf("folder: %s: damaged: %v; move it away, and the member comes as new", folder, why)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(folder, "record.db"), BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("folder: %s: %w; it may be in use, or damaged: move it away, and the member comes as new", folder, err)
	}
	return store, nil
}

// haltingStore is where raft keeps its term and vote, which must stand before they count. Raft panics where they cannot be
// written, as on a full disk. Instead the member takes no further part: raft's own goroutine is held until the
// transport is closed, and the controller goes on by itself like any that the record does not answer.
type haltingStore struct {
	raft.StableStore
	lost  func(error)
	ended <-chan struct{}
}

func (v haltingStore) held(err error) error {
	if err == nil {
		return nil
	}
	v.lost(err)
	<-v.ended
	runtime.Goexit()
	return err
}

// Set writes bytes, or holds the caller.
func (v haltingStore) Set(key, value []byte) error { return v.held(v.StableStore.Set(key, value)) }

// SetUint64 writes a number, or holds the caller.
func (v haltingStore) SetUint64(key []byte, value uint64) error {
	return v.held(v.StableStore.SetUint64(key, value))
}
