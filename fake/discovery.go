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

// Discovery serves the endpoint list to controllers over HTTP, with long polls. Safe for concurrent
// use.
type Discovery struct {
	server  *http.Server
	address string
	checker *invariant.Checker // receives the published states; may be nil if Publish is never called
	clock   func() time.Duration
	closed  chan struct{}  // channel that Close closes, which ends open polls
	running sync.WaitGroup // counts the goroutine of the server; Close waits for its end

	mutex     sync.Mutex // guards the fields below
	version   int
	entries   []discoveryEntry
	indexByID map[string]int // index of each backend in entries, by backend ID
	fullBody  []byte         // the encoded full list; nil from a change until the list is encoded again
	changed   chan struct{}  // channel that is closed and replaced at each change of the list or of silent
	silent    bool           // the server withholds all answers
	answers   int
	bytesSent int64
}

// NewDiscovery starts to serve an empty list on loopback.
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
	d.running.Go(func() { _ = d.server.Serve(listener) }) // Serve returns an error only because the server was closed
	return d, nil
}

// Address returns the address of the server.
func (d *Discovery) Address() string { return d.address }

// Close stops the server and its open polls. It must be called only once.
func (d *Discovery) Close() {
	close(d.closed)
	_ = d.server.Close() // the listener is closed even if Close returns an error
	d.running.Wait()
}

// SetSilent sets whether the server withholds all answers.
func (d *Discovery) SetSilent(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
	d.notifyWatchers()
}

// notifyWatchers wakes all long polls, which then read the list again. The caller holds the mutex.
func (d *Discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Publish sets the state of backends in the list, as one new version, and wakes all long polls.
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

// Sent returns the number of answers that were sent, and the total size of their bodies.
func (d *Discovery) Sent() (answers int, bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.answers, d.bytesSent
}

// snapshot is the answer that a poll gets at one moment.
type snapshot struct {
	body    []byte
	version int
	changed chan struct{} // channel that is closed at the next change of the list or of silent
	silent  bool
}

// snapshotSince returns an answer with the entries that changed after a version, or with the full
// list.
func (d *Discovery) snapshotSince(version int, full bool) snapshot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := snapshot{version: d.version, changed: d.changed, silent: d.silent}
	if full && d.fullBody != nil {
		current.body = d.fullBody
		return current
	}
	answer := discoveryAnswer{Version: d.version, Full: full, Servers: []discoveryEntry{}}
	for _, entry := range d.entries {
		if full && entry.State != StateRemoved || !full && entry.version > version {
			answer.Servers = append(answer.Servers, entry)
		}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // cannot happen: every weight is a number that JSON can encode
	}
	current.body = body
	if full {
		d.fullBody = body
	}
	return current
}

// silentRecheck is the interval at which a poll that has timed out checks whether the server still
// withholds answers. Usually SetSilent wakes the poll earlier.
const silentRecheck = time.Hour

// ServeHTTP answers at once with the full list. If the query has since=, ServeHTTP answers with the
// entries that changed after that version, as soon as an entry has changed or the time in
// timeout_ms= has passed.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // wait is 0 if timeout_ms is missing
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		current := d.snapshotSince(version, full)
		if !current.silent && (full || current.version > version) {
			d.answer(w, current.body)
			return
		}
		select {
		case <-current.changed:
		case <-timeout.C:
			if !current.silent {
				d.answer(w, current.body)
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

func (d *Discovery) answer(w http.ResponseWriter, body []byte) {
	d.mutex.Lock()
	d.answers++
	d.bytesSent += int64(len(body))
	d.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a failed write means that the client has closed the connection; the client polls again
}
