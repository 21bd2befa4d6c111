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

// Names and sizes of what is on disk. Names are never changed: folders outlast releases.
const (
	storeFile         = "record.db"
	idKey             = "id"
	retainedSnapshots = 2
	folderMode        = os.FileMode(0o700) // others could vote in our name
	lockTimeout       = time.Second        // until a second process on the same folder is told so
)

// storage is what a raft instance reads and writes: memory, or a folder.
type storage struct {
	id        string // under which the votes in it were given
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	close     func()
}

// openStorage opens a folder, or memory for an empty one. The new ID is taken unless the folder has one.
func openStorage(folder, newID string, logger hclog.Logger) (*storage, error) {
	if folder == "" {
		memory := raft.NewInmemStore()
		return &storage{id: newID, log: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore(), close: func() {}}, nil
	}
	store, err := openFolder(folder)
	if err != nil {
		return nil, &ConfigError{"folder", err}
	}
	closeStore := func() { _ = store.Close() } // what raft was told to be written is written
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

// loadID is the ID that a store has, or the new one, which it has from then on.
func loadID(store raft.StableStore, newID string) (string, error) {
	if id, err := store.Get([]byte(idKey)); err == nil && len(id) > 0 {
		return string(id), nil
	}
	return newID, store.Set([]byte(idKey), []byte(newID))
}

// openFolder opens the store in a folder. A damaged file is an error that says what would do: the library underneath
// panics on some, and reads beyond the end of others.
func openFolder(folder string) (store *raftboltdb.BoltStore, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("%w; give one that can be written", err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if why := recover(); why != nil {
			store = nil
			err = fmt.Errorf("%s: damaged: %v; move it away, and the member comes as new", folder, why)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{
		Path:        filepath.Join(folder, storeFile),
		BoltOptions: &bbolt.Options{Timeout: lockTimeout},
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w; it may be in use, or damaged: move it away, and the member comes as new", folder, err)
	}
	return store, nil
}

// haltingStore is where raft keeps its term and vote, which must be written before they count. Raft panics where they
// cannot be, as on a full disk. Instead the member takes no further part: the goroutine of raft's that writes is held until
// the transport is closed, and the controller goes on without a quorum.
type haltingStore struct {
	raft.StableStore
	onHalt func(error)
	ended  <-chan struct{} // of the transport
}

// withHalt makes a store that has the node halt where it cannot be written.
func (n *Node) withHalt(stable raft.StableStore) haltingStore {
	if n.wrapStore != nil {
		stable = n.wrapStore(stable)
	}
	return haltingStore{StableStore: stable, onHalt: n.halt, ended: n.transport.ended}
}

func (n *Node) halt(err error) {
	n.log.Error("record_halted", "error", err.Error(), "text", "votes cannot be kept, so we take no further part; mend the disk and restart")
	n.halted.Store(true)
}

// Set writes bytes, or holds the caller.
func (s haltingStore) Set(key, value []byte) error { return s.hold(s.StableStore.Set(key, value)) }

// SetUint64 writes a number, or holds the caller.
func (s haltingStore) SetUint64(key []byte, value uint64) error {
	return s.hold(s.StableStore.SetUint64(key, value))
}

// hold ends the goroutine after an error, once the transport is closed.
func (s haltingStore) hold(err error) error {
	if err == nil {
		return nil
	}
	s.onHalt(err)
	<-s.ended
	runtime.Goexit()
	return err
}
