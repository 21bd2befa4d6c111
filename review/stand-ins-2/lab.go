// Program review-2 plays the cases of the second review: it starts the project's own controllers as
// separate processes and stands a discovery agent, proxies, backends and collectors around them, all
// on loopback addresses and the real clock.
package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// lab holds one run of a case.
type lab struct {
	root, folder string // root of the checkout, and a temporary folder
	trouble      bool
	began        time.Time
	controllers  []*controller

	mutex      sync.Mutex // guards the fields below
	record     *bufio.Writer
	violations int
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation writes a line of the record that says how the rule was broken.
func (l *lab) violation(format string, args ...any) {
	l.mutex.Lock()
	l.violations++
	l.mutex.Unlock()
	l.note("RULE BROKEN: "+format, args...)
}

// fault ends the run of a case that could not be played.
type fault struct{ reason string }

func cannotRun(format string, args ...any) { panic(fault{fmt.Sprintf(format, args...)}) }

// freeAddress returns a loopback address below the ephemeral ports, on which nobody listens.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// backend is an entry of discovery's list, and what the stand-in of the server counts.
type backend struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`

	version int
}

// world is what discovery knows. Every controller has an agent of its own, which tells it.
type world struct {
	lab     *lab
	mutex   sync.Mutex // guards the fields below
	version int
	entries []backend
	changed chan struct{}
}

func newWorld(l *lab) *world { return &world{lab: l, version: 1, changed: make(chan struct{})} }

// set changes or adds entries, as one new version of the list.
func (w *world) set(entries ...backend) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.version++
	for _, entry := range entries {
		entry.version = w.version
		entry.Addr = "127.0.0.1:9"
		entry.Kind = "m2"
		if entry.Weight == 0 {
			entry.Weight = 1
		}
		if i := slices.IndexFunc(w.entries, func(b backend) bool { return b.ID == entry.ID }); i >= 0 {
			w.entries[i] = entry
		} else {
			w.entries = append(w.entries, entry)
		}
		w.lab.note("list version %d: %s in zone %s is %s", w.version, entry.ID, entry.Zone, entry.State)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// get returns the entry of a backend.
func (w *world) get(id string) backend {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, entry := range w.entries {
		if entry.ID == id {
			return entry
		}
	}
	return backend{}
}

// list returns all entries that are not removed.
func (w *world) list() (entries []backend) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, entry := range w.entries {
		if entry.State != "removed" {
			entries = append(entries, entry)
		}
	}
	return entries
}

type answer struct {
	Version int       `json:"version"`
	Full    bool      `json:"full"`
	Servers []backend `json:"servers"`
}

// agent is discovery's agent on the machine of one controller.
type agent struct {
	world   *world
	address string
	server  *http.Server

	mutex sync.Mutex
	told  map[string]time.Time // when the present state of a backend was first written to the controller
	state map[string]string
}

func newAgent(w *world) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("discovery: %v", err)
	}
	a := &agent{world: w, address: listener.Addr().String(), told: map[string]time.Time{}, state: map[string]string{}}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(listener)
	return a
}

func (a *agent) answer(since int, full bool) (reply answer, changed chan struct{}) {
	w := a.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reply = answer{Version: w.version, Full: full, Servers: []backend{}}
	for _, entry := range w.entries {
		if full && entry.State != "removed" || !full && entry.version > since {
			reply.Servers = append(reply.Servers, entry)
		}
	}
	return reply, w.changed
}

func (a *agent) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	since, err := strconv.Atoi(request.URL.Query().Get("since"))
	full := err != nil
	wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		reply, changed := a.answer(since, full)
		if full || reply.Version > since {
			a.write(writer, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			a.write(writer, reply)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (a *agent) write(writer http.ResponseWriter, reply answer) {
	body, _ := json.Marshal(reply)
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(body)
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, entry := range reply.Servers {
		if a.state[entry.ID] != entry.State {
			a.state[entry.ID], a.told[entry.ID] = entry.State, time.Now()
		}
	}
}

// toldAt returns the state of a backend that the controller was told last, and since when.
func (a *agent) toldAt(id string) (state string, at time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state[id], a.told[id]
}

// controller is one of the project's controllers, as a process of its own.
type controller struct {
	lab     *lab
	name    string
	address string
	agent   *agent
	config  string
	options string // path of the options file; empty if the controller is started as the platform does
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
	since   time.Time // when it first answered alive after its last start
	channel *channel
}

// addController writes the configuration of a controller, which start starts.
func (l *lab) addController(name string, w *world, settings map[string]any) *controller {
	c := &controller{lab: l, name: name, address: freeAddress(), agent: newAgent(w)}
	c.channel = &channel{controller: c}
	c.channel.perSecond, c.channel.backlog, c.channel.overhead = channelOf(settings)
	known, _ := c.agent.answer(0, true)
	body, _ := json.MarshalIndent(map[string]any{
		"name": name, "listen": c.address, "discovery": c.agent.address, "seed": fmt.Sprintf("%x", 77+len(l.controllers)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	}, "", " ")
	c.config = filepath.Join(l.folder, name+".json")
	if err := os.WriteFile(c.config, body, 0o600); err != nil {
		cannotRun("%v", err)
	}
	l.controllers = append(l.controllers, c)
	return c
}

// start starts the process with the command of the deploy file (or, with options, as the README says) and
// waits until it answers.
func (c *controller) start() {
	command := "exec bin/wheelrill"
	if c.options != "" {
		command = "exec bin/wheelrill serve --options " + c.options
	}
	log, err := os.OpenFile(filepath.Join(c.lab.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	c.cmd = exec.Command("/bin/sh", "-c", command)
	c.cmd.Dir = c.lab.root
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.Env = append(os.Environ(), "LB_CONFIG="+c.config, "LB_NAME="+c.name, "LB_LISTEN="+c.address,
		"LB_DISCOVERY="+c.agent.address, "TMPDIR="+c.lab.folder)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		cannotRun("%s: %v", c.name, err)
	}
	c.starts++
	c.channel.restart()
	c.lab.note("%s started, process %d", c.name, c.cmd.Process.Pid)
	c.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(c.cmd, c.ended)
}

// awaitAlive waits until the controller answers a probe.
func (c *controller) awaitAlive() {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if c.alive() {
			c.since = time.Now()
			c.lab.note("%s answers alive", c.name)
			return
		}
	}
	cannotRun("%s did not answer within 20 s; see its log", c.name)
}

func (c *controller) alive() bool {
	conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if send(conn, map[string]any{"msg": "probe"}) != nil {
		return false
	}
	body, err := receive(bufio.NewReader(conn))
	return err == nil && string(body) != ""
}

func (c *controller) signal(s syscall.Signal) {
	c.lab.note("%s: signal %v", c.name, s)
	c.cmd.Process.Signal(s)
}

// stop sends a signal that ends the process, and waits for its end.
func (c *controller) stop(s syscall.Signal) {
	c.signal(s)
	select {
	case <-c.ended:
	case <-time.After(5 * time.Second):
		c.cmd.Process.Signal(syscall.SIGKILL)
		<-c.ended
	}
	c.lab.note("%s ended", c.name)
}

func (l *lab) close() {
	for _, c := range l.controllers {
		if c.cmd == nil {
			continue
		}
		select {
		case <-c.ended:
		default:
			c.cmd.Process.Signal(syscall.SIGCONT)
			c.cmd.Process.Signal(syscall.SIGKILL)
			<-c.ended
		}
		c.agent.server.Close()
	}
}

// send writes one message: its length, most significant byte first, and a JSON object.
func send(conn net.Conn, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

// receive reads one message.
func receive(reader io.Reader) ([]byte, error) {
	header := make([]byte, 4)
	if _, err := io.ReadFull(reader, header); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(header))
	_, err := io.ReadFull(reader, body)
	return body, err
}

// channel is the channel of one controller, as the pages describe it: lines leave it one after the other.
type channel struct {
	controller                   *controller
	perSecond, backlog, overhead float64

	mutex    sync.Mutex
	idleFrom time.Time
	peak     float64
	check    bool // more lines than the limit break rule 5
}

func channelOf(settings map[string]any) (perSecond, backlog, overhead float64) {
	info := settings["familyInfo"].(map[string]any)
	return info["egressPerS"].(float64), info["backlog"].(float64), info["overhead"].(float64)
}

func (c *channel) restart() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleFrom = time.Time{}
}

// enter puts a message into the channel, and returns when it leaves and how many lines wait.
func (c *channel) enter(lines float64, at time.Time) (leaves time.Time, waiting float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idleFrom.Before(at) {
		c.idleFrom = at
	}
	c.idleFrom = c.idleFrom.Add(time.Duration((lines + c.overhead) / c.perSecond * float64(time.Second)))
	waiting = c.idleFrom.Sub(at).Seconds() * c.perSecond
	c.peak = max(c.peak, waiting)
	return c.idleFrom, waiting
}
