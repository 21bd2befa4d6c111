// Package replica puts the entries of package share on a record that all members of an installation have, by means of
// hashicorp/raft: over TLS between members that know each other by name, on disk or in memory. It decides nothing about
// proxies or backends.
package replica

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"wheelrill/share"
)

// Events are told what becomes of the record, the entries in their order. They may wait, but not for the Node.
type Events interface {
	Recorded(share.Entry)
	Restored(*share.Record)
	Answered(incarnation, seq uint64)
	Failed(incarnation, seq uint64)
}

// Place says where a member stands.
type Place struct {
	Name    string
	Members map[string]string // the address of each by its name, our own among them
	Folder  string            // for what must outlast the process; "" keeps it in memory
	Credentials
	Terms share.Terms
}

// Paces of raft on a local network. A member that dies is replaced as leader within two of them, about.
const (
	heartbeat   = 400 * time.Millisecond
	leaderLease = 300 * time.Millisecond
	applyWithin = 500 * time.Millisecond
	lookAgain   = 200 * time.Millisecond
	snapshotAt  = 4096               // entries
	trailing    = 1024               // entries that are kept beyond a snapshot, for who lags a little
	quietFor    = 10 * time.Second   // between two lines that tell the record's cost
	folderMode  = os.FileMode(0o700) // others could vote in our name
)

// Node is a member's part in the record.
type Node struct {
	place  Place
	events Events
	log    *slog.Logger
	link   *link
	clock  func() int64 // µs

	mail chan share.Entry // one entry is under way at a time

	mutex   sync.Mutex // over what a raft instance brings
	raft    *raft.Raft
	id      string
	machine *machine
	close   func()

	out   atomic.Bool                             // votes cannot be kept any more
	spoil func(raft.StableStore) raft.StableStore // for stories of disks; nil for none

	lead   sync.Mutex // over what we see as leader; it holds over several leaderships, as it rests on our clock alone
	leases *share.LeaseTracker
	stamp  uint64 // tells our clock from others
}

// New checks a place, listens at our address, and starts nothing else. An error says what would do.
func New(place Place, events Events, log *slog.Logger) (*Node, error) {
	return makes(place, events, log, nil)
}

func makes(place Place, events Events, log *slog.Logger, spoil func(raft.StableStore) raft.StableStore) (*Node, error) {
	address, ok := place.Members[place.Name]
	if !ok {
		return nil, fmt.Errorf("members: %q is not among them; add it with its address", place.Name)
	}
	secure, err := place.pair()
	if err != nil {
		return nil, err
	}
	if secure == nil {
		for name, address := range place.Members {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, fmt.Errorf("members: %s: %w", name, err)
			}
			if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
				return nil, fmt.Errorf("members: %s is at %s, and plain text is for loopback alone; give certificate, key and authority",
					name, address)
			}
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("members: listen: %w", err)
	}
	began := time.Now()
	n := &Node{place: place, events: events, log: log, spoil: spoil, mail: make(chan share.Entry, 1), stamp: draw(),
		leases: share.NewLeaseTracker(place.Terms),
		clock:  func() int64 { return time.Since(began).Microseconds() }}
	n.link = &link{name: place.Name, members: place.Members, secure: secure, listener: listener, id: n.ID, serve: n.serve,
		forRaft: make(chan net.Conn), ended: make(chan struct{}), conns: map[net.Conn]bool{},
		refused: func(from net.Addr, why error) {
			if !errors.Is(why, errOther) && !errors.Is(why, net.ErrClosed) && !errors.Is(why, io.EOF) {
				log.Info("member_refused", "peer", from.String(), "why", why.Error())
			}
		}}
	if err := n.open(); err != nil {
		n.link.close()
		return nil, err
	}
	return n, nil
}

// ID is our name with what is drawn for as long as our votes are remembered.
func (n *Node) ID() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.id
}

// Cost is what the record has cost so far: entries that were taken in, and bytes that went out and came in.
func (n *Node) Cost() (entries uint64, bytes int64) {
	r, _ := n.now()
	return r.AppliedIndex(), n.link.bytes.Load()
}

// Leads tells whether this member leads the record now.
func (n *Node) Leads() bool {
	r, _ := n.now()
	return r.State() == raft.Leader
}

// Propose takes the entry that is to be put on the record next. It never waits.
func (n *Node) Propose(e share.Entry) {
	for {
		select {
		case n.mail <- e:
			return
		default:
		}
		select { // one of an incarnation that is over
		case <-n.mail:
		default:
		}
	}
}

// open begins a raft instance: from the folder, or as new.
func (n *Node) open() error {
	id := n.place.Name + "/" + rand.Text()[:8]
	m := &machine{events: n.events, record: share.NewRecord(), failed: func(err error) {
		n.log.Error("entry_unreadable", "error", err.Error())
	}}
	var log raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore
	shut := func() {}
	if n.place.Folder == "" {
		memory := raft.NewInmemStore()
		log, stable, snapshots = memory, memory, raft.NewInmemSnapshotStore()
	} else {
		store, err := openDisk(n.place.Folder)
		if err != nil {
			return err
		}
		shut = func() { store.Close() }
		files, err := raft.NewFileSnapshotStoreWithLogger(n.place.Folder, 2, n.raftLog())
		if err != nil {
			shut()
			return fmt.Errorf("folder: %s: %w", n.place.Folder, err)
		}
		const key = "id"
		if had, err := store.Get([]byte(key)); err == nil && len(had) > 0 {
			id = string(had)
		} else if err := store.Set([]byte(key), []byte(id)); err != nil {
			shut()
			return fmt.Errorf("folder: %s: %w", n.place.Folder, err)
		}
		log, stable, snapshots = store, store, files
	}
	if n.spoil != nil {
		stable = n.spoil(stable)
	}
	stable = votes{stable, func(err error) {
		n.log.Error("record_lost", "error", err.Error(), "text", "votes cannot be kept, so we take no further part; mend the disk and restart")
		n.out.Store(true)
	}, n.link.ended}
	ours := &layer{link: n.link, address: addressOf(n.place.Name, id), over: make(chan struct{})}
	carrier := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: ours, MaxPool: 2,
		Timeout: callPatience, Logger: n.raftLog()})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(id), n.raftLog()
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = heartbeat, heartbeat, leaderLease
	c.CommitTimeout, c.MaxAppendEntries = heartbeat/8, 256
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotAt, trailing, 5*time.Second
	n.mutex.Lock()
	defer n.mutex.Unlock()
	r, err := raft.NewRaft(c, m, log, stable, snapshots, carrier)
	if err != nil {
		carrier.Close()
		shut()
		return fmt.Errorf("record: %w", err)
	}
	n.id, n.machine, n.raft = id, m, r
	n.close = func() {
		r.Shutdown().Error()
		carrier.Close()
		shut()
	}
	return nil
}

func (n *Node) raftLog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: lines{n.log}, DisableTime: true})
}

// lines hands raft's own lines on.
type lines struct{ to *slog.Logger }

func (l lines) Write(line []byte) (int, error) {
	l.to.Info("raft", "text", string(line[:max(0, len(line)-1)]))
	return len(line), nil
}

func (n *Node) now() (*raft.Raft, *machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.raft, n.machine
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(n.link.run)
	parts.Go(func() { n.propose(ctx) })
	parts.Go(func() { n.belong(ctx) })
	<-ctx.Done()
	if n.out.Load() {
		n.link.close() // or what is held would hold up the end
	} else if r, _ := n.now(); r.State() == raft.Leader {
		r.LeadershipTransfer().Error() // or the others go without a leader for a while
	}
	n.mutex.Lock()
	shut := n.close
	n.mutex.Unlock()
	shut()
	n.link.close()
	parts.Wait()
	n.link.open.Wait()
}

// call is what members ask each other; answer is what they get.
type call struct {
	Entry *share.Entry `cbor:"1,keyasint,omitempty"` // to be put on the record
	Who   bool         `cbor:"2,keyasint,omitempty"`
	Name  string       `cbor:"3,keyasint,omitempty"` // with ID: this member would join as that
	ID    string       `cbor:"4,keyasint,omitempty"`
}

type answer struct {
	Stands bool   `cbor:"1,keyasint,omitempty"`
	Why    string `cbor:"2,keyasint,omitempty"`
	ID     string `cbor:"3,keyasint,omitempty"`
	Part   bool   `cbor:"4,keyasint,omitempty"` // it is part of a record
	Leader string `cbor:"5,keyasint,omitempty"` // name
}

// serve answers one connection's calls, one after the other.
func (n *Node) serve(conn net.Conn, names []string, over int) {
	for {
		var c call
		if err := receive(conn, &c); err != nil {
			return
		}
		a := n.answer(c, names, over)
		conn.SetWriteDeadline(time.Now().Add(callPatience))
		if err := send(conn, a); err != nil {
			return
		}
	}
}

func (n *Node) answer(c call, names []string, over int) answer {
	switch {
	case c.Who:
		return n.who()
	case c.Entry != nil && slices.Contains(names, c.Entry.Member):
		return n.stand(*c.Entry, over)
	case c.ID != "" && slices.Contains(names, c.Name) && nameOf(raft.ServerID(c.ID)) == c.Name:
		return n.admit(c.Name, c.ID)
	}
	return answer{Why: "it may not speak for that member"}
}

func (n *Node) who() answer {
	r, _ := n.now()
	a := answer{ID: n.ID()}
	_, leader := r.LeaderWithID()
	a.Leader = nameOf(leader)
	if f := r.GetConfiguration(); f.Error() == nil {
		a.Part = len(f.Configuration().Servers) > 0
	}
	return a
}

// stand puts an entry on the record, if we lead. Over tells the connections apart that entries come by.
func (n *Node) stand(e share.Entry, over int) answer {
	r, m := n.now()
	if r.State() != raft.Leader {
		return answer{Why: "not the leader"}
	}
	n.lead.Lock()
	now := n.clock()
	n.leases.Observe(e.Incarnation, e.Seq, over, now)
	m.with(func(record *share.Record) { e.OnRecord = n.leases.OnRecord(record, now) })
	e.Stamp = share.Stamp{Leader: n.stamp, At: now}
	n.lead.Unlock()
	body, err := cbor.Marshal(e)
	if err != nil {
		return answer{Why: err.Error()}
	}
	if err := r.Apply(body, applyWithin).Error(); err != nil {
		return answer{Why: err.Error()}
	}
	return answer{Stands: true}
}

// admit has a member take part under a new id: it has forgotten its votes, or never had any. Its old id goes first.
func (n *Node) admit(name, id string) answer {
	r, _ := n.now()
	if r.State() != raft.Leader {
		return answer{Why: "not the leader"}
	}
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return answer{Why: err.Error()}
	}
	var ids []string
	for _, server := range f.Configuration().Servers {
		ids = append(ids, string(server.ID))
	}
	leave, in := share.Admit(ids, id, func(id string) string { return nameOf(raft.ServerID(id)) })
	for _, other := range leave {
		if err := r.RemoveServer(raft.ServerID(other), 0, applyWithin).Error(); err != nil {
			return answer{Why: err.Error()}
		}
	}
	if in {
		return answer{Stands: true}
	}
	if err := r.AddVoter(raft.ServerID(id), addressOf(name, id), 0, applyWithin).Error(); err != nil {
		return answer{Why: err.Error()}
	}
	n.log.Info("member_joined", "name", name, "id", id)
	return answer{Stands: true}
}

// ask makes one call on a connection of its own.
func (n *Node) ask(ctx context.Context, name string, c call) (a answer, err error) {
	conn, err := n.link.dial(ctx, name, forCalls)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	return a, request(conn, c, &a)
}

func request(conn net.Conn, c call, a *answer) error {
	conn.SetDeadline(time.Now().Add(callPatience))
	if err := send(conn, c); err != nil {
		return err
	}
	return receive(conn, a)
}

// belong has us become part of the record, and stay it.
func (n *Node) belong(ctx context.Context) {
	look := time.NewTicker(lookAgain)
	defer look.Stop()
	told, lost, bytes, index := time.Now(), 0, n.link.bytes.Load(), uint64(0)
	r, _ := n.now()
	for {
		select {
		case <-ctx.Done():
			return
		case leading := <-r.LeaderCh():
			n.log.Info("leading", "leads", leading, "name", n.place.Name)
			continue
		case <-look.C:
		}
		if time.Since(told) >= quietFor {
			seconds := time.Since(told).Seconds()
			_, m := n.now()
			n.log.Info("record", "entries_per_s", round(float64(r.AppliedIndex()-index)/seconds),
				"bytes_per_s", round(float64(n.link.bytes.Load()-bytes)/seconds), "snapshot_bytes", m.bytes)
			told, bytes, index = time.Now(), n.link.bytes.Load(), r.AppliedIndex()
		}
		if r.State() == raft.Leader {
			n.lookFor(ctx)
		}
		if _, leader := r.LeaderWithID(); leader != "" && n.within(r) {
			lost = 0
			continue
		}
		lost++
		if n.join(ctx, r, lost) {
			n.mutex.Lock()
			shut := n.close
			n.mutex.Unlock()
			shut()
			if err := n.open(); err != nil {
				n.log.Error("record_lost", "error", err.Error())
				return
			}
			n.events.Restored(share.NewRecord())
			r, _ = n.now()
			lost, index = 0, 0
		}
	}
}

// lookFor has the lease tracker know of members that are not there: of whom nothing came lately, and at whose address nobody
// listens. Only a refusal shows that; what hangs may be cut off, or stand still.
func (n *Node) lookFor(ctx context.Context) {
	_, m := n.now()
	var silent []string
	n.lead.Lock()
	now := n.clock()
	m.with(func(record *share.Record) {
		for name, incarnation := range record.Members {
			if name != n.place.Name && n.leases.Silent(incarnation, now, 2*n.place.Terms.Renew) {
				silent = append(silent, name)
			}
		}
	})
	n.lead.Unlock()
	for _, name := range silent {
		at := n.clock()
		conn, err := n.link.dial(ctx, name, forCalls)
		if err == nil {
			conn.Close()
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			n.lead.Lock()
			n.leases.MarkGone(name, at)
			n.lead.Unlock()
		}
	}
}

func round(x float64) float64 { return float64(int(x*10+0.5)) / 10 }

// within tells whether the record has us as a member.
func (n *Node) within(r *raft.Raft) bool {
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool {
		return string(s.ID) == n.ID()
	})
}

// join takes the next step to be part of a record; it is true where we have to come as new.
func (n *Node) join(ctx context.Context, r *raft.Raft, looks int) (anew bool) {
	others := map[string]share.Met{}
	for name := range n.place.Members {
		if name == n.place.Name {
			continue
		}
		if a, err := n.ask(ctx, name, call{Who: true}); err == nil {
			others[name] = share.Met{ID: a.ID, Part: a.Part, Leader: a.Leader}
		}
	}
	_, leader := r.LeaderWithID()
	f := r.GetConfiguration()
	own := share.Own{Name: n.place.Name, ID: n.ID(), Part: f.Error() == nil && len(f.Configuration().Servers) > 0, Within: n.within(r),
		Led: leader != "", Durable: n.place.Folder != "", Leaderless: looks}
	switch step := share.Belong(own, slices.Collect(maps.Keys(n.place.Members)), others); step.Do {
	case share.Join:
		if a, err := n.ask(ctx, step.Ask, call{Name: n.place.Name, ID: n.ID()}); err == nil && !a.Stands {
			n.log.Debug("join", "at", step.Ask, "why", a.Why)
		}
	case share.Found:
		var servers []raft.Server
		for _, name := range slices.Sorted(maps.Keys(step.IDs)) {
			servers = append(servers, raft.Server{ID: raft.ServerID(step.IDs[name]), Address: addressOf(name, step.IDs[name])})
		}
		if err := r.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err == nil {
			n.log.Info("founded", "members", len(servers))
		}
	case share.Forget:
		n.log.Info("record_lost", "text", "all others have come as new; so do we")
		return true
	}
	return false
}

// propose brings entries to the leader, over one connection as long as it lasts.
func (n *Node) propose(ctx context.Context) {
	var conn net.Conn
	to := ""
	hangUp := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer hangUp()
	for {
		var e share.Entry
		select {
		case <-ctx.Done():
			return
		case e = <-n.mail:
		}
		r, _ := n.now()
		_, id := r.LeaderWithID()
		leader := nameOf(id)
		var a answer
		switch {
		case leader == "":
		case leader == n.place.Name:
			hangUp()
			a = n.stand(e, 0)
		default:
			var err error
			if leader != to || conn == nil {
				hangUp()
				to = leader
				conn, err = n.link.dial(ctx, leader, forCalls)
			}
			if err == nil {
				err = request(conn, call{Entry: &e}, &a)
			}
			if err != nil {
				hangUp()
			}
		}
		if a.Stands {
			n.events.Answered(e.Incarnation, e.Seq)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookAgain / 4):
		}
		n.events.Failed(e.Incarnation, e.Seq)
	}
}
