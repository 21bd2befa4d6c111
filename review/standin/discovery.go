package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one entry of the list of discovery.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	changed int     // version at which the entry changed last
}

// list is the answer of discovery.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// discovery is the agent of discovery on the machine of one controller. It answers at once with all
// that it has, and holds a watch until something changes.
type discovery struct {
	run     *run
	name    string // name of its controller
	address string

	mutex   sync.Mutex
	changed *sync.Cond
	version int
	servers []server
	told    map[string]time.Time // time at which the leaving of a backend was written to the controller
}

// newDiscovery starts the agent with a list.
func (r *run) newDiscovery(name string, servers []server) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.require(err == nil, "discovery: %v", err)
	d := &discovery{run: r, name: name, address: listener.Addr().String(), version: 1, told: map[string]time.Time{}}
	d.changed = sync.NewCond(&d.mutex)
	for _, s := range servers {
		s.changed = 1
		d.servers = append(d.servers, s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.answer)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	go func() { // lets watches notice that their time is over
		for range time.Tick(50 * time.Millisecond) {
			d.changed.Broadcast()
		}
	}()
	return d
}

// set changes the states of backends.
func (d *discovery) set(state string, ids ...string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for i := range d.servers {
		for _, id := range ids {
			if d.servers[i].ID == id {
				d.servers[i].State, d.servers[i].changed = state, d.version
			}
		}
	}
	d.changed.Broadcast()
}

func (d *discovery) answer(w http.ResponseWriter, request *http.Request) {
	since, watch := -1, request.URL.Query().Has("since")
	var end time.Time
	if watch {
		since, _ = strconv.Atoi(request.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		end = time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	}
	d.mutex.Lock()
	for watch && d.version <= since && time.Now().Before(end) {
		d.changed.Wait()
	}
	answer := list{Version: d.version, Full: !watch, Servers: []server{}}
	for _, s := range d.servers {
		if !watch && s.State != "removed" || watch && s.changed > since {
			answer.Servers = append(answer.Servers, s)
		}
	}
	d.mutex.Unlock()
	body, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range answer.Servers {
		if s.State == "up" {
			delete(d.told, s.ID)
		} else if _, known := d.told[s.ID]; !known {
			d.told[s.ID] = time.Now()
			d.run.log("discovery: told %s that %s is %s", d.name, s.ID, s.State)
		}
	}
}

// toldAt returns the time at which a controller was told that a backend leaves.
func (d *discovery) toldAt(id string) (at time.Time, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, ok = d.told[id]
	return at, ok
}

// listsWarm reports whether the list shows a backend as ready that started long ago and is open to
// a class: in any zone, or in the given zone if the class keeps to it.
func (d *discovery) listsWarm(zone string, local bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.servers {
		if s.State == "up" && s.Started == 0 && (!local || s.Zone == zone) {
			return true
		}
	}
	return false
}
