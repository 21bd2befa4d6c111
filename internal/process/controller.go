// Package process runs controllers as processes of their own on loopback, and watches whether the machine is too busy to
// judge them by.
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

// Controller is one controller's process. Its fields are set before Start. Not safe for concurrent use, as its caller
// alone starts and stops it.
type Controller struct {
	Name    string   // for messages
	Program string   // path of the executable
	Listen  string   // address that it serves, for Responds
	Env     []string // in addition to that of this process
	Args    []string // of the program
	Log     *os.File // takes its standard output and error; the caller closes it
	Up      bool     // it runs, and is meant to

	cmd   *exec.Cmd
	ended chan struct{} // closed once the process has been waited for
}

// Time limits of what a controller is asked.
const (
	stopTimeout  = 3 * time.Second // after it, a controller that was told to stop is killed
	dialTimeout  = 200 * time.Millisecond
	replyTimeout = 500 * time.Millisecond
)

// Start begins the process. It is killed when this process ends.
func (c *Controller) Start() error {
	c.cmd = exec.Command(c.Program, c.Args...)
	c.cmd.Env = append(os.Environ(), c.Env...)
	c.cmd.Stdout = c.Log
	c.cmd.Stderr = c.Log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left when this process is killed
	if err := c.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	c.Up = true
	c.ended = make(chan struct{})
	// Ends with the process.
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // its exit code is in no contract: those who care read its log
		close(ended)
	}(c.cmd, c.ended)
	return nil
}

// PID is the process's id. Start comes before.
func (c *Controller) PID() int { return c.cmd.Process.Pid }

// Signal sends the process a signal, and waits for nothing.
func (c *Controller) Signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// Stop sends the process SIGTERM or SIGKILL and waits for its end; one that does not end in time is killed.
func (c *Controller) Stop(s syscall.Signal) {
	_ = c.Signal(s) // an error means that it has ended
	select {
	case <-c.ended:
	case <-time.After(stopTimeout):
		_ = c.Signal(syscall.SIGKILL)
		<-c.ended
	}
	c.Up = false
}

// ExitedUnexpectedly tells whether the process has ended without having been stopped.
func (c *Controller) ExitedUnexpectedly() bool {
	select {
	case <-c.ended:
		return c.Up
	default:
		return false
	}
}

// Responds tells whether the controller answers a probe, as the platform sends it.
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
	header := make([]byte, 4) // of any answer
	_, err = io.ReadFull(conn, header)
	return err == nil
}
