// Package process runs controllers as child processes on loopback, and measures whether the machine
// is too busy for meaningful results.
package process

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Controller is a controller in a child process. Its caller sets all exported fields except Up
// before Start, and clears Up while it suspends the process. It is not safe for concurrent use: a
// single caller starts and stops it.
type Controller struct {
	Name    string   // name of the controller in error messages
	Program string   // path of the executable
	Listen  string   // address on which the controller serves, and to which Responds connects
	Env     []string // environment variables that are added to those of this process
	Args    []string // command-line arguments of the program
	Log     *os.File // file that receives the controller's standard output and error; the caller closes it
	Up      bool     // true while the process is meant to run; set by Start, cleared by Stop

	cmd   *exec.Cmd
	ended chan struct{} // this channel is closed when cmd.Wait has returned
}

// Time limits of Stop (stopTimeout) and of Responds (dialTimeout and replyTimeout).
const (
	stopTimeout  = 3 * time.Second // Stop kills a controller that has not exited within this time
	dialTimeout  = 200 * time.Millisecond
	replyTimeout = 500 * time.Millisecond
)

// Start starts the controller as a child process. The system kills the child process when this
// process exits.
func (c *Controller) Start() error {
	c.cmd = exec.Command(c.Program, c.Args...)
	c.cmd.Env = append(os.Environ(), c.Env...)
	c.cmd.Stdout = c.Log
	c.cmd.Stderr = c.Log
	// Pdeathsig ensures that no child is left running when this process is killed.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	c.Up = true
	c.ended = make(chan struct{})
	// This goroutine ends when the process exits.
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the error is ignored: no exit code is specified, and the controller's log has the cause
		close(ended)
	}(c.cmd, c.ended)
	return nil
}

// PID returns the id of the controller's process. It must not be called before Start.
func (c *Controller) PID() int { return c.cmd.Process.Pid }

// Signal sends a signal to the process and does not wait for its effect.
func (c *Controller) Signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// Stop sends SIGTERM or SIGKILL to the process and waits until it exits. A process that does not
// exit within stopTimeout is killed.
func (c *Controller) Stop(s syscall.Signal) {
	_ = c.Signal(s) // an error of Signal means that the process has already exited
	select {
	case <-c.ended:
	case <-time.After(stopTimeout):
		_ = c.Signal(syscall.SIGKILL)
		<-c.ended
	}
	c.Up = false
}

// ExitedUnexpectedly reports whether the process has exited without a call of Stop.
func (c *Controller) ExitedUnexpectedly() bool {
	select {
	case <-c.ended:
		return c.Up
	default:
		return false
	}
}

// Responds reports whether the controller answers a probe, the readiness check that the platform
// sends.
func (c *Controller) Responds() bool {
	conn, err := net.DialTimeout("tcp", c.Listen, dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return false
	}
	const probe = `{"msg":"probe"}`
	framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(probe))), probe...)
	if _, err := conn.Write(framed); err != nil {
		return false
	}
	header := make([]byte, 4) // header is the length of the answer, whose content does not matter
	_, err = io.ReadFull(conn, header)
	return err == nil
}
