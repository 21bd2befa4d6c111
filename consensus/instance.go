package consensus

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// Sizes and times of a raft instance that do not depend on the lease, unlike raftTimings.
const (
	// snapshotThreshold is the number of log entries since the last snapshot at which the next
	// snapshot is due.
	snapshotThreshold = 4096
	// snapshotInterval is the time between two checks whether a snapshot is due.
	snapshotInterval = 5 * time.Second
	// trailingLogs is the number of log entries that are kept after a snapshot. A member that lags
	// by fewer entries needs no snapshot.
	trailingLogs = 1024
	// maxAppendEntries is the maximum number of log entries in one raft message. The limit bounds
	// the size of the message, as each entry in it may have the maximum size.
	maxAppendEntries = 32
	// connectionPool is the maximum number of idle connections that raft keeps to each member.
	connectionPool = 2
)

// instance is a raft instance under one ID. A member that starts over under a new ID gets a new
// instance.
type instance struct {
	raft    *raft.Raft
	machine *stateMachine
	id      string
	close   func() // shuts down raft's goroutines, then closes the storage
}

// current returns the present raft instance.
func (n *Node) current() *instance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.instance
}

// openInstance starts a raft instance from the data in the folder, or from an empty state under a
// new ID.
func (n *Node) openInstance() error {
	store, err := openStorage(n.config.Folder, n.config.Name+"/"+rand.Text()[:8], n.raftLogger())
	if err != nil {
		return err
	}
	raftTransport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: &streamLayer{
			transport: n.transport,
			address:   addressOf(n.config.Name, store.id),
			closed:    make(chan struct{}),
		},
		MaxPool: connectionPool,
		Timeout: callTimeout,
		Logger:  n.raftLogger(),
	})
	machine := n.newStateMachine()

	// The mutex stays locked until n.instance is the new instance, so that no other goroutine uses
	// the previous instance.
	n.mutex.Lock()
	defer n.mutex.Unlock()
	r, err := raft.NewRaft(n.raftConfig(store.id), machine, store.log, n.newHaltingStore(store.stable),
		store.snapshots, raftTransport)
	if err != nil {
		_ = raftTransport.Close() // openInstance returns the error of NewRaft, not the error of Close
		store.close()
		return fmt.Errorf("consensus: start raft: %w", err)
	}
	n.instance = &instance{
		raft:    r,
		machine: machine,
		id:      store.id,
		close: func() {
			_ = r.Shutdown().Error()  // the error of Shutdown is always nil
			_ = raftTransport.Close() // raft's connections stay open until transport.close closes them
			store.close()
		},
	}
	return nil
}

func (n *Node) newStateMachine() *stateMachine {
	return &stateMachine{
		events:        n.events,
		record:        ownership.NewRecord(),
		configuration: newConfigurationRecord(n.config.Distribution, n.noteEpoch),
		onUnreadable:  func(err error) { n.log.Error("entry_unreadable", "error", err.Error()) },
	}
}

func (n *Node) raftConfig(id string) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(id)
	config.Logger = n.raftLogger()
	config.HeartbeatTimeout = n.timings.heartbeat
	config.ElectionTimeout = n.timings.heartbeat
	config.LeaderLeaseTimeout = n.timings.leaderLease
	config.CommitTimeout = n.timings.commit
	config.MaxAppendEntries = maxAppendEntries
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingLogs
	return config
}

// raftLogger returns a logger that passes the errors which raft logs to the Node's log.
func (n *Node) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Error,
		Output:      raftLogWriter{n.log},
		DisableTime: true,
	})
}

// raftLogWriter logs each line that is written to it.
type raftLogWriter struct{ log *slog.Logger }

func (w raftLogWriter) Write(line []byte) (int, error) {
	w.log.Warn("raft", "text", string(line[:max(0, len(line)-1)]))
	return len(line), nil
}
