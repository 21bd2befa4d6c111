// Package process runs controllers as processes of their own on loopback, and watches whether the machine bears them.
package process

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Instance is one controller's process.
type Instance struct {
	Name    string
	Program string
	Listen  string
	Env     []string
	Args    []string
	Log     *os.File
	Up      bool // it runs, and is meant to

	cmd   *exec.Cmd
	ended chan struct{}
}

// Start begins the process.
func (i *Instance) Start() error {
	i.cmd = exec.Command(i.Program, i.Args...)
	i.cmd.Env = append(os.Environ(), i.Env...)
	i.cmd.Stdout, i.cmd.Stderr = i.Log, i.Log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left when we are killed ourselves
	if err := i.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.Name, err)
	}
	i.Up, i.ended = true, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(i.cmd, i.ended)
	return nil
}

// PID is the process's id while it runs.
func (i *Instance) PID() int { return i.cmd.Process.Pid }

// Send sends the process a signal, and waits for nothing.
func (i *Instance) Send(s syscall.Signal) error { return i.cmd.Process.Signal(s) }

// Signal sends the process a signal; SIGKILL and SIGTERM wait for its end.
func (i *Instance) Signal(s syscall.Signal) {
	i.cmd.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		select {
		case <-i.ended:
		case <-time.After(3 * time.Second):
			i.cmd.Process.Kill()
			<-i.ended
		}
		i.Up = false
	}
}

// Gone tells whether the process has ended by itself.
func (i *Instance) Gone() bool {
	select {
	case <-i.ended:
		return i.Up
	default:
		return false
	}
}

// Answers asks whether the controller serves, as the platform does.
func (i *Instance) Answers() bool {
	conn, err := net.DialTimeout("tcp", i.Listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	text := `{"msg":"probe"}`
	conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	_, err = io.ReadFull(conn, make([]byte, 4))
	return err == nil
}

// Ports that the system does not give to callers: one of those could take a port while its controller is down.
const (
	firstPort = 20_000
	ports     = 10_000
	tries     = 1_000
)

// FreeAddresses gives addresses on loopback that nobody listens on now.
func FreeAddresses(n int) (addresses []string, err error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for tried := 0; len(addresses) < n; tried++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil && tried == tries {
			return nil, err
		} else if err == nil {
			open, addresses = append(open, l), append(addresses, l.Addr().String())
		}
	}
	return addresses, nil
}

// WriteJSON puts a file of JSON into a folder.
func WriteJSON(folder, name string, what any) (string, error) {
	body, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name)
	return path, os.WriteFile(path, body, 0o600)
}

// Lateness watches how late this process gets its turns: a machine that is too busy cannot be judged on.
type Lateness struct {
	stop chan struct{}
	late []time.Duration
	done chan struct{}
}

const turn = 10 * time.Millisecond

// WatchLateness starts to watch.
func WatchLateness() *Lateness {
	b := &Lateness{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for {
			began := time.Now()
			select {
			case <-b.stop:
				return
			case <-time.After(turn):
				b.late = append(b.late, time.Since(began)-turn)
			}
		}
	}()
	return b
}

// End gives the lateness that one turn in a hundred has, and the most.
func (b *Lateness) End() (hundredth, most time.Duration) {
	close(b.stop)
	<-b.done
	if len(b.late) == 0 {
		return 0, 0
	}
	slices.Sort(b.late)
	return b.late[len(b.late)*99/100], b.late[len(b.late)-1]
}
