package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Names, sizes and permissions of the data on disk. The names must never change, because folders
// outlive releases.
const (
	storeFile         = "record.db"
	idKey             = "id"
	retainedSnapshots = 2
	// folderMode excludes other users of the machine, who could otherwise vote in the name of this
	// member.
	folderMode  = os.FileMode(0o700)
	lockTimeout = time.Second // time after which opening a folder fails if another process uses it
)

// storage holds the stores of a raft instance, in memory or in a folder.
type storage struct {
	id        string // the raft ID to which the stored votes belong
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	close     func()
}

// openStorage opens the storage in a folder, or in memory if folder is empty. newID becomes the
// raft ID of the storage unless the folder already contains an ID.
func openStorage(folder, newID string, logger hclog.Logger) (*storage, error) {
	if folder == "" {
		memory := raft.NewInmemStore()
		return &storage{
			id:        newID,
			log:       memory,
			stable:    memory,
			snapshots: raft.NewInmemSnapshotStore(),
			close:     func() {},
		}, nil
	}
	store, err := openFolder(folder)
	if err != nil {
		return nil, &ConfigError{"folder", err}
	}
	// An error of Close loses nothing: each write that raft saw succeed is on disk already.
	closeStore := func() { _ = store.Close() }
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(folder, retainedSnapshots, logger)
	if err != nil {
		closeStore()
		return nil, &ConfigError{"folder", fmt.Errorf("%s: %w", folder, err)}
	}
	id, err := loadID(store, newID)
	if err != nil {
		closeStore()
		return nil, &ConfigError{"folder", fmt.Errorf("%s: %w", folder, err)}
	}
	return &storage{id: id, log: store, stable: store, snapshots: snapshots, close: closeStore}, nil
}

// loadID returns the raft ID in a store. If the store has no ID, loadID stores and returns newID.
func loadID(store raft.StableStore, newID string) (string, error) {
	if id, err := store.Get([]byte(idKey)); err == nil && len(id) > 0 {
		return string(id), nil
	}
	return newID, store.Set([]byte(idKey), []byte(newID))
}

// openFolder opens the store in a folder. For a damaged file it returns an error that says how to
// recover. It has to recover from panics and memory faults, as bbolt panics on some damaged files
// and reads beyond the end of others.
func openFolder(folder string) (store *raftboltdb.BoltStore, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("%w; set a folder that can be written", err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			store = nil
			err = fmt.Errorf("%s: damaged: %v; move the folder away, and the member joins under a new ID",
				folder, cause)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{
		Path:        filepath.Join(folder, storeFile),
		BoltOptions: &bbolt.Options{Timeout: lockTimeout},
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w; the folder may be in use, or damaged: if damaged, move it away, "+
			"and the member joins under a new ID", folder, err)
	}
	return store, nil
}

// haltingStore stores raft's term and vote, which must be on disk before they take effect. Raft
// panics if a write fails, for example on a full disk. Instead of the panic, this store halts the
// member's part in the record: it blocks the raft goroutine that writes until the transport is
// closed, and the controller continues without a quorum.
type haltingStore struct {
	raft.StableStore
	onHalt func(error)
	ended  <-chan struct{} // this channel is closed when the transport is closed
}

// newHaltingStore wraps a store so that a write error halts the Node.
func (n *Node) newHaltingStore(stable raft.StableStore) haltingStore {
	if n.wrapStore != nil {
		stable = n.wrapStore(stable)
	}
	return haltingStore{StableStore: stable, onHalt: n.halt, ended: n.transport.ended}
}

// halt records that this member takes no further part in the replicated record, because raft's term
// or vote cannot be stored.
func (n *Node) halt(err error) {
	n.log.Error("record_halted", "error", err.Error(), "text", "raft's term and vote cannot be stored, "+
		"so this member takes no further part in the record; repair the disk and restart")
	n.halted.Store(true)
}

// Set stores bytes under a key. If the write fails, Set blocks the caller until the transport is
// closed.
func (s haltingStore) Set(key, value []byte) error {
	return s.haltOnError(s.StableStore.Set(key, value))
}

// SetUint64 stores a number under a key. If the write fails, SetUint64 blocks the caller until the
// transport is closed.
func (s haltingStore) SetUint64(key []byte, value uint64) error {
	return s.haltOnError(s.StableStore.SetUint64(key, value))
}

// haltOnError halts the Node after a write error, and blocks until the transport is closed; it then
// ends the goroutine without returning to raft.
func (s haltingStore) haltOnError(err error) error {
	if err == nil {
		return nil
	}
	s.onHalt(err)
	<-s.ended
	runtime.Goexit()
	return err
}
