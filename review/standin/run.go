package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case: whether the rule was broken, and the reason.
type verdict struct {
	broken bool
	reason string
}

// failure is the panic value that ends a case that could not run.
type failure string

// run holds what one play of a case uses: its folder, its record and its processes.
type run struct {
	root    string // root of the checkout
	folder  string // temporary folder
	trouble bool   // whether the disruption of the case takes place
	command string // command of the deploy file that starts a controller
	began   time.Time

	mutex     sync.Mutex
	record    *bufio.Writer
	processes []*controller
}

// play runs a case, writes its record, ends all processes and returns the exit code.
func play(body func(*run) verdict, root, recordPath string) (code int) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(folder)
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	r := &run{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file)}
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.record.Flush()
	}()
	defer r.endAll()
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case failure:
			r.log("verdict: the case could not run: %s", cause)
			fmt.Println("could not run:", cause)
			code = exitFailed
		default:
			panic(cause)
		}
	}()
	go r.endOnSignal()
	r.command = r.deployCommand()
	r.log("disruption: %v", r.trouble)
	result := body(r)
	r.log("verdict: broken=%v: %s", result.broken, result.reason)
	fmt.Printf("broken=%v: %s\n", result.broken, result.reason)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}

// maxLine is the length at which a line of the record is cut.
const maxLine = 900

// log writes a line to the record, with the seconds since the start of the case.
func (r *run) log(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if len(line) > maxLine {
		line = line[:maxLine] + " ..."
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), line)
}

// require ends the case as one that could not run, unless a condition holds.
func (r *run) require(condition bool, format string, args ...any) {
	if !condition {
		panic(failure(fmt.Sprintf(format, args...)))
	}
}

// await waits until a condition holds, and reports whether it did within the timeout.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// deployCommand returns the command of the deploy file that starts one controller.
func (r *run) deployCommand() string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.require(err == nil, "deploy file: %v", err)
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	r.require(found != nil, "the deploy file has no command run")
	return string(found[1])
}

// freeAddresses returns loopback addresses with ports that are free now, below the ports that
// systems give to outgoing connections.
func (r *run) freeAddresses(count int) (addresses []string) {
	for range 1000 {
		if len(addresses) == count {
			return addresses
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 21000+rand.IntN(11000)))
		if err == nil {
			defer listener.Close()
			addresses = append(addresses, listener.Addr().String())
		}
	}
	panic(failure("no free ports"))
}

// controller is one controller process.
type controller struct {
	run     *run
	name    string
	listen  string
	folder  string // holds the configuration and the options
	options string // text of the options file; empty for none
	config  map[string]any

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	lines   []string // lines of its log, over all of its processes
}

// newController prepares a controller; start starts it. settings is the object of the same name in
// the configuration, known the cached list.
func (r *run) newController(name, listen, discovery, options string, settings map[string]any, known any) *controller {
	folder := filepath.Join(r.folder, name)
	r.require(os.MkdirAll(folder, 0o755) == nil, "cannot create %s", folder)
	c := &controller{run: r, name: name, listen: listen, folder: folder, options: options, config: map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}}
	if known != nil {
		c.config["known"] = known
	}
	c.writeConfig()
	if options != "" {
		r.require(os.WriteFile(filepath.Join(folder, "options.yaml"), []byte(options), 0o644) == nil, "cannot write options")
	}
	r.mutex.Lock()
	r.processes = append(r.processes, c)
	r.mutex.Unlock()
	return c
}

// writeConfig writes the configuration file.
func (c *controller) writeConfig() {
	text, err := json.MarshalIndent(c.config, "", " ")
	c.run.require(err == nil, "configuration: %v", err)
	path := filepath.Join(c.folder, "config.json")
	c.run.require(os.WriteFile(path+".new", text, 0o644) == nil, "cannot write the configuration")
	c.run.require(os.Rename(path+".new", path) == nil, "cannot write the configuration")
}

// distribute writes a configuration that distributes the given entries, and sends SIGHUP.
func (c *controller) distribute(entries map[string]any) {
	c.config["distributed"] = entries
	c.writeConfig()
	text, _ := json.Marshal(entries)
	c.run.log("%s: configuration file has distributed = %s; SIGHUP", c.name, text)
	c.signal(syscall.SIGHUP)
}

// start starts the process by the command of the deploy file.
func (c *controller) start() {
	text := c.run.command
	if c.options != "" {
		text += " serve --options " + filepath.Join(c.folder, "options.yaml")
	}
	command := exec.Command("/bin/sh", "-c", text)
	command.Dir = c.run.root
	command.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(c.folder, "config.json"),
		"LB_NAME="+c.name, "LB_LISTEN="+c.listen, "LB_DISCOVERY="+c.config["discovery"].(string))
	output, err := command.StderrPipe()
	c.run.require(err == nil, "%s: %v", c.name, err)
	c.run.require(command.Start() == nil, "%s does not start", c.name)
	ended := make(chan struct{})
	c.mutex.Lock()
	c.command, c.ended = command, ended
	c.mutex.Unlock()
	c.run.log("%s: started, process %d: %s", c.name, command.Process.Pid, text)
	go func() {
		defer close(ended)
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			line := scanner.Text()
			c.mutex.Lock()
			c.lines = append(c.lines, line)
			c.mutex.Unlock()
			c.run.log("%s| %s", c.name, line)
		}
		err := command.Wait()
		c.run.log("%s: process %d has ended: %v", c.name, command.Process.Pid, err)
	}()
}

// signal sends a signal to the process.
func (c *controller) signal(signal syscall.Signal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if signal != syscall.SIGHUP {
		c.run.log("%s: %s", c.name, signal)
	}
	_ = c.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (c *controller) kill() {
	c.signal(syscall.SIGKILL)
	<-c.ended
}

// mark returns a position in the log of the controller, for logged.
func (c *controller) mark() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.lines)
}

// logged returns the first line after a position that contains all of the texts; empty if none.
func (c *controller) logged(after int, texts ...string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
lines:
	for _, line := range c.lines[after:] {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		return line
	}
	return ""
}

// awaitLog waits for a line and returns it; empty after the timeout.
func (c *controller) awaitLog(after int, timeout time.Duration, texts ...string) (line string) {
	await(timeout, func() bool { line = c.logged(after, texts...); return line != "" })
	return line
}

// endOnSignal ends all processes and the case at an interrupt, at SIGTERM, or after maxTime.
func (r *run) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	r.endAll()
	os.RemoveAll(r.folder)
	os.Exit(exitFailed)
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// endAll ends all processes.
func (r *run) endAll() {
	r.mutex.Lock()
	processes := r.processes
	r.mutex.Unlock()
	for _, c := range processes {
		c.mutex.Lock()
		command, ended := c.command, c.ended
		c.mutex.Unlock()
		if command == nil {
			continue
		}
		select {
		case <-ended:
		default:
			_ = command.Process.Kill()
			<-ended
		}
	}
}
