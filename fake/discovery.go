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

// entry is one worker as discovery writes it.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	version int
}

// Discovery tells controllers of workers, over HTTP with watches.
type Discovery struct {
	server  *http.Server
	address string
	account *invariant.Checker
	clock   func() time.Duration

	mutex   sync.Mutex
	version int
	entries []entry
	at      map[string]int // index of an entry by its id
	whole   []byte         // the whole list as it is sent, until something changes
	sent    int64          // bytes of answers
	answers int
	news    chan struct{}
	silent  bool
	ended   chan struct{}
	running sync.WaitGroup
}

// NewDiscovery begins to serve an empty list.
func NewDiscovery(account *invariant.Checker, clock func() time.Duration) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: listener.Addr().String(), account: account, clock: clock, at: map[string]int{}, news: make(chan struct{}),
		ended: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	d.running.Go(func() { d.server.Serve(listener) })
	return d, nil
}

// Address is where it serves.
func (d *Discovery) Address() string { return d.address }

// Close ends it.
func (d *Discovery) Close() {
	close(d.ended)
	d.server.Close()
	d.running.Wait()
}

// SetSilent has it answer nothing, or go on.
func (d *Discovery) SetSilent(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
	d.told()
}

func (d *Discovery) told() {
	close(d.news)
	d.news = make(chan struct{})
}

// Publish writes workers with a state: up, draining or removed.
func (d *Discovery) Publish(state string, workers ...*Backend) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for _, w := range workers {
		e := w.entry(state)
		e.version = d.version
		if at, known := d.at[e.ID]; known {
			d.entries[at] = e
		} else {
			d.at[e.ID], d.entries = len(d.entries), append(d.entries, e)
		}
		d.account.EndpointListed(w.ID, state == "up", w.Warm(), d.clock())
	}
	d.whole = nil
	d.told()
}

// Sent is how many answers it has given, and how many bytes their bodies had.
func (d *Discovery) Sent() (answers int, bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.answers, d.sent
}

type answer struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// since gives what has changed after a version as it is sent, the version, and what to wait on for more.
func (d *Discovery) since(version int, full bool) (body []byte, at int, more chan struct{}, silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if full && d.whole != nil {
		return d.whole, d.version, d.news, d.silent
	}
	a := answer{Version: d.version, Full: full, Servers: []entry{}}
	for _, e := range d.entries {
		if full && e.State != "removed" || !full && e.version > version {
			a.Servers = append(a.Servers, e)
		}
	}
	body, err := json.Marshal(a)
	if err != nil {
		panic(err) // our own words
	}
	if full {
		d.whole = body
	}
	return body, d.version, d.news, d.silent
}

func (d *Discovery) sends(to http.ResponseWriter, body []byte) {
	d.mutex.Lock()
	d.answers++
	d.sent += int64(len(body))
	d.mutex.Unlock()
	to.Header().Set("Content-Type", "application/json")
	to.Write(body)
}

// ServeHTTP answers the whole list, or a watch.
func (d *Discovery) ServeHTTP(to http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	late := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer late.Stop()
	for {
		body, at, more, silent := d.since(version, full)
		if !silent && (full || at > version) {
			d.sends(to, body)
			return
		}
		select {
		case <-more:
		case <-late.C:
			if !silent {
				d.sends(to, body)
				return
			}
			late.Reset(time.Hour)
		case <-r.Context().Done():
			return
		case <-d.ended:
			return
		}
	}
}
