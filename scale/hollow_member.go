package scale

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wheelrill/consensus"
	"wheelrill/internal/process"
	"wheelrill/ownership"
)

// Lease terms of hollow members, the same as the lease terms of real members, and the size of a
// hollow member's task queue.
const (
	defaultLease   = 1500 * time.Millisecond // lease of members that share a fleet of proxies
	voterLease     = 10 * time.Second        // lease of members that own no proxies; see docs/distributing.md
	renewsPerLease = 8
	taskQueueSize  = 1024
)

// hollowMember is a member of the record that runs the same code as a real controller, and has no
// proxies.
type hollowMember struct {
	name        string
	node        *consensus.Node
	coordinator *ownership.Coordinator
	began       time.Time
	tasks       chan func()
	done        chan struct{}

	hasQuorum atomic.Bool // reports whether the member is on the record and has quorum
}

// startHollowMember starts a member that takes part in the record until the context ends. The lease
// determines the other terms of the member.
func startHollowMember(ctx context.Context, running *sync.WaitGroup, config consensus.Config,
	lease time.Duration) (*hollowMember, error) {
	m := &hollowMember{name: config.Name, began: time.Now(), tasks: make(chan func(), taskQueueSize),
		done: make(chan struct{})}
	config.Terms = ownership.LeaseTerms{
		Duration:      lease.Microseconds(),
		RenewInterval: lease.Microseconds() / renewsPerLease,
		Members:       len(config.Members),
	}
	var err error
	if m.node, err = consensus.New(config, hollowEvents{m}, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	m.coordinator = ownership.New(hollowHost{m}, config.Name, config.Terms, m.now())
	running.Go(func() { m.run(ctx, lease/renewsPerLease/2) })
	running.Go(func() { m.node.Run(ctx) })
	return m, nil
}

func (m *hollowMember) now() int64 { return time.Since(m.began).Microseconds() }

// run is the event loop of the member. The coordinator is called only from this loop.
func (m *hollowMember) run(ctx context.Context, tick time.Duration) {
	defer close(m.done)
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-m.tasks:
			task()
		case <-ticks.C:
			m.coordinator.Tick(m.now())
		}
	}
}

// post passes a task to the event loop, or drops it if the loop has ended.
func (m *hollowMember) post(task func()) {
	select {
	case m.tasks <- task:
	case <-m.done:
	}
}

// hollowEvents passes the events of the consensus node to the member's coordinator, through the
// event loop of the member.
type hollowEvents struct{ *hollowMember }

func (e hollowEvents) EntryCommitted(entry ownership.Entry) {
	e.post(func() { e.coordinator.EntryApplied(entry, e.now()) })
}

func (e hollowEvents) SnapshotRestored(record *ownership.Record) {
	e.post(func() { e.coordinator.SnapshotRestored(record, e.now()) })
}

func (e hollowEvents) ProposalCommitted(incarnation, seq uint64) {
	e.post(func() { e.coordinator.ProposalCommitted(incarnation, seq, e.now()) })
}

func (e hollowEvents) ProposalFailed(incarnation, seq uint64) {
	e.post(func() { e.coordinator.ProposalFailed(incarnation, seq, e.now()) })
}

// hollowHost is the host of a hollow member's coordinator. It ignores grants and all other calls
// that concern proxies, because a hollow member has no proxies.
type hollowHost struct{ *hollowMember }

func (h hollowHost) Propose(e ownership.Entry)                             { h.node.Propose(e) }
func (h hollowHost) ProxyGranted(ownership.Grant)                          {}
func (h hollowHost) PeerCapacityReported(ownership.Capacity)               {}
func (h hollowHost) ReleaseUpTo(uint64)                                    {}
func (h hollowHost) PeerObservationReported(string, ownership.Observation) {}
func (h hollowHost) QuorumChanged(alone bool, _ string)                    { h.hasQuorum.Store(!alone) }

// RandomID returns a random number other than 0.
func (h hollowHost) RandomID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// startHollowMembers starts the given number of hollow members on loopback addresses, and waits
// until each member is on the record and has quorum.
func startHollowMembers(ctx context.Context, running *sync.WaitGroup, size int,
	lease time.Duration) ([]*hollowMember, error) {
	addresses, err := process.FreeAddresses(size)
	if err != nil {
		return nil, err
	}
	addressOf := map[string]string{}
	for i, address := range addresses {
		addressOf[memberName(i)] = address
	}
	var members []*hollowMember
	for i := range size {
		m, err := startHollowMember(ctx, running, consensus.Config{Name: memberName(i), Members: addressOf}, lease)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	hasQuorum := func() bool {
		for _, m := range members {
			if !m.hasQuorum.Load() {
				return false
			}
		}
		return true
	}
	if !await(ctx, startTimeout, hasQuorum) {
		return nil, fmt.Errorf("not all of %d members had quorum within %s", size, startTimeout)
	}
	return members, nil
}

func memberName(i int) string { return fmt.Sprint("n", i) }
