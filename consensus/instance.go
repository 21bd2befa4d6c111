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

// Sizes and times of a member's part in raft, beside its pace.
const (
	snapshotThreshold = 4096            // entries since the last snapshot
	snapshotInterval  = 5 * time.Second // between two looks whether a snapshot is due
	trailingLogs      = 1024            // entries that are kept beyond a snapshot, for members that lag a little
	maxAppendEntries  = 32              // in one message of raft's: each may be a change of the greatest size
	connectionPool    = 2               // connections that raft keeps to each member
)

// instance is one part in raft under one ID. A member that comes as new has another.
type instance struct {
	raft    *raft.Raft
	machine *stateMachine
	id      string
	close   func() // ends raft's goroutines, then closes the storage
}

// current is the present instance.
func (n *Node) current() *instance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.instance
}

// openInstance begins a raft instance: from the folder, or as new.
func (n *Node) openInstance() error {
	store, err := openStorage(n.config.Folder, n.config.Name+"/"+rand.Text()[:8], n.raftLogger())
	if err != nil {
		return err
	}
	raftTransport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  &layer{transport: n.transport, address: addressOf(n.config.Name, store.id), closed: make(chan struct{})},
		MaxPool: connectionPool,
		Timeout: callTimeout,
		Logger:  n.raftLogger(),
	})
	machine := n.newStateMachine()

	n.mutex.Lock() // until it is there: nobody is to use the one before
	defer n.mutex.Unlock()
	r, err := raft.NewRaft(n.raftConfig(store.id), machine, store.log, n.withHalt(store.stable), store.snapshots, raftTransport)
	if err != nil {
		_ = raftTransport.Close() // the error before it counts
		store.close()
		return fmt.Errorf("record: %w", err)
	}
	n.instance = &instance{
		raft:    r,
		machine: machine,
		id:      store.id,
		close: func() {
			_ = r.Shutdown().Error()  // it has none
			_ = raftTransport.Close() // its connections are closed with the transport
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
	config.HeartbeatTimeout = n.pace.heartbeat
	config.ElectionTimeout = n.pace.heartbeat
	config.LeaderLeaseTimeout = n.pace.leaderLease
	config.CommitTimeout = n.pace.commit
	config.MaxAppendEntries = maxAppendEntries
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingLogs
	return config
}

// raftLogger hands raft's own errors on to our log.
func (n *Node) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: raftLogWriter{n.log}, DisableTime: true})
}

// raftLogWriter logs each line that is written to it.
type raftLogWriter struct{ to *slog.Logger }

func (w raftLogWriter) Write(line []byte) (int, error) {
	w.to.Warn("raft", "text", string(line[:max(0, len(line)-1)]))
	return len(line), nil
}
