package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wheelrill/invariant"
)

// Discovery tells controllers of backends, over HTTP with long polls. Safe for concurrent use.
type Discovery struct {
	server  *http.Server
	address string
	checker *invariant.Checker // nil where nothing is published
	clock   func() time.Duration
	closed  chan struct{}
	running sync.WaitGroup // the server's goroutine, which Close ends

	mutex     sync.Mutex // of all below
	version   int
	entries   []discoveryEntry
	indexByID map[string]int // of entries
	fullBody  []byte         // the full list as it is sent; nil once something has changed
	changed   chan struct{}  // closed at each change
	silent    bool
	answers   int
	bytesSent int64
}

// NewDiscovery begins to serve an empty list.
func NewDiscovery(checker *invariant.Checker, clock func() time.Duration) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		address:   listener.Addr().String(),
		checker:   checker,
		clock:     clock,
		closed:    make(chan struct{}),
		indexByID: map[string]int{},
		changed:   make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	d.running.Go(func() { _ = d.server.Serve(listener) }) // its error is that it was closed
	return d, nil
}

// Address is where it serves.
func (d *Discovery) Address() string { return d.address }

// Close ends it. It is called once.
func (d *Discovery) Close() {
	close(d.closed)
	_ = d.server.Close() // the listener is closed, whatever it says
	d.running.Wait()
}

// SetSilent has it answer nothing, or go on.
func (d *Discovery) SetSilent(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
	d.notifyWatchers()
}

// notifyWatchers has long polls look again. The discovery is locked.
func (d *Discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Publish writes backends with a state, as one version of the list.
func (d *Discovery) Publish(state State, backends ...*Backend) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for _, b := range backends {
		entry := b.discoveryEntry(state)
		entry.version = d.version
		if i, known := d.indexByID[entry.ID]; known {
			d.entries[i] = entry
		} else {
			d.indexByID[entry.ID] = len(d.entries)
			d.entries = append(d.entries, entry)
		}
		d.checker.EndpointListed(b.ID, state == StateUp, b.Warm(), d.clock())
	}
	d.fullBody = nil
	d.notifyWatchers()
}

// Sent is how many answers it has given, and how many bytes their bodies had.
func (d *Discovery) Sent() (answers int, bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.answers, d.bytesSent
}

// listing is an answer at a moment.
type listing struct {
	body    []byte
	version int
	changed chan struct{} // closed once another answer may be due
	silent  bool
}

// since gives what has changed after a version, or the full list.
func (d *Discovery) since(version int, full bool) listing {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := listing{version: d.version, changed: d.changed, silent: d.silent}
	if full && d.fullBody != nil {
		now.body = d.fullBody
		return now
	}
	answer := discoveryAnswer{Version: d.version, Full: full, Servers: []discoveryEntry{}}
	for _, entry := range d.entries {
		if full && entry.State != StateRemoved || !full && entry.version > version {
			answer.Servers = append(answer.Servers, entry)
		}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // weights are numbers that can be written
	}
	now.body = body
	if full {
		d.fullBody = body
	}
	return now
}

// silentRecheck is how long an answer that is due waits for the end of a silence, where nothing else ends it.
const silentRecheck = time.Hour

// ServeHTTP answers with the full list at once, or to a poll with since= with what has changed after that version, once
// something has or after timeout_ms=.
func (d *Discovery) ServeHTTP(to http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // 0 where it is none
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		now := d.since(version, full)
		if !now.silent && (full || now.version > version) {
			d.answer(to, now.body)
			return
		}
		select {
		case <-now.changed:
		case <-timeout.C:
			if !now.silent {
				d.answer(to, now.body)
				return
			}
			timeout.Reset(silentRecheck)
		case <-r.Context().Done():
			return
		case <-d.closed:
			return
		}
	}
}

func (d *Discovery) answer(to http.ResponseWriter, body []byte) {
	d.mutex.Lock()
	d.answers++
	d.bytesSent += int64(len(body))
	d.mutex.Unlock()
	to.Header().Set("Content-Type", "application/json")
	_, _ = to.Write(body) // who asked is gone, and asks again
}
