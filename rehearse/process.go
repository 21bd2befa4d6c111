// Package rehearse plays scenarios against real controllers: processes of the very program, with package standin around
// them and package rules as the judge.
package rehearse

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

// instance is one controller's process.
type instance struct {
	name    string
	program string
	listen  string
	env     []string
	args    []string
	log     *os.File

	cmd   *exec.Cmd
	ended chan struct{}
	up    bool
}

func (i *instance) start() error {
	i.cmd = exec.Command(i.program, i.args...)
	i.cmd.Env = append(os.Environ(), i.env...)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left when we are killed ourselves
	if err := i.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.up, i.ended = true, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(i.cmd, i.ended)
	return nil
}

// signal sends the process a signal; SIGKILL and SIGTERM wait for its end.
func (i *instance) signal(s syscall.Signal) {
	i.cmd.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		select {
		case <-i.ended:
		case <-time.After(3 * time.Second):
			i.cmd.Process.Kill()
			<-i.ended
		}
		i.up = false
	}
}

// gone tells whether the process has ended by itself.
func (i *instance) gone() bool {
	select {
	case <-i.ended:
		return i.up
	default:
		return false
	}
}

// answers asks whether the controller serves, as the platform does.
func (i *instance) answers() bool {
	conn, err := net.DialTimeout("tcp", i.listen, 200*time.Millisecond)
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

// free gives addresses on loopback that nobody listens on now.
func free(n int) (addresses []string, err error) {
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

// writes puts a file of JSON into a folder.
func writes(folder, name string, what any) (string, error) {
	body, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name)
	return path, os.WriteFile(path, body, 0o600)
}

// busy watches how late this process gets its turns: a machine that is too busy cannot be judged on.
type busy struct {
	stop chan struct{}
	late []time.Duration
	done chan struct{}
}

const turn = 10 * time.Millisecond

func watchBusy() *busy {
	b := &busy{stop: make(chan struct{}), done: make(chan struct{})}
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

// end gives the lateness that one turn in a hundred has, and the most.
func (b *busy) end() (hundredth, most time.Duration) {
	close(b.stop)
	<-b.done
	if len(b.late) == 0 {
		return 0, 0
	}
	slices.Sort(b.late)
	return b.late[len(b.late)*99/100], b.late[len(b.late)-1]
}
