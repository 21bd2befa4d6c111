package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wheelrill/rules"
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
	account *rules.Account
	clock   func() time.Duration

	mutex   sync.Mutex
	version int
	entries []entry
	news    chan struct{}
	silent  bool
	ended   chan struct{}
	running sync.WaitGroup
}

// NewDiscovery begins to serve an empty list.
func NewDiscovery(account *rules.Account, clock func() time.Duration) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: listener.Addr().String(), account: account, clock: clock, news: make(chan struct{}),
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

// Silence has it answer nothing, or go on.
func (d *Discovery) Silence(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
	d.told()
}

func (d *Discovery) told() {
	close(d.news)
	d.news = make(chan struct{})
}

// List writes workers with a state: up, draining or removed.
func (d *Discovery) List(state string, workers ...*Worker) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for _, w := range workers {
		e, at := w.entry(state), -1
		e.version = d.version
		for i := range d.entries {
			if d.entries[i].ID == e.ID {
				at = i
			}
		}
		if at < 0 {
			d.entries = append(d.entries, e)
		} else {
			d.entries[at] = e
		}
		d.account.Listed(w.ID, state == "up", w.Warm(), d.clock())
	}
	d.told()
}

type answer struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// since gives what has changed after a version, and what to wait on for more.
func (d *Discovery) since(version int, full bool) (a answer, more chan struct{}, silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a = answer{Version: d.version, Full: full, Servers: []entry{}}
	for _, e := range d.entries {
		if full && e.State != "removed" || !full && e.version > version {
			a.Servers = append(a.Servers, e)
		}
	}
	return a, d.news, d.silent
}

// ServeHTTP answers the whole list, or a watch.
func (d *Discovery) ServeHTTP(to http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	late := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer late.Stop()
	for {
		a, more, silent := d.since(version, full)
		if !silent && (full || a.Version > version) {
			to.Header().Set("Content-Type", "application/json")
			json.NewEncoder(to).Encode(a)
			return
		}
		select {
		case <-more:
		case <-late.C:
			if !silent {
				json.NewEncoder(to).Encode(a)
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
