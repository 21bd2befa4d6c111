package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestShutdown(t *testing.T) {
	t.Run("before it listens it does not begin", func(t *testing.T) {
		c, err := New(Identity{}, configuration("127.0.0.1:9", two), NewLogger(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if err := c.Serve(ctx); err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("a discovery that takes no connection holds nothing up", func(t *testing.T) {
		serves(t, deaf(t), two, func(l *limits) { l.dialTimeout = patience }) // and ends with the story
	})
	t.Run("a peer that reads nothing holds nothing up, and no order leaves that was not counted", func(t *testing.T) {
		m, _ := begin(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		short := &shortOf{Listener: &net.TCPListener{}, conns: []net.Conn{here}, done: ctx.Done()}
		ended, ran := make(chan error, 1), make(chan struct{})
		s := &server{limits: m.limits, loop: m, log: m.log}
		go func() { defer close(ran); m.run(ctx) }()
		go func() { ended <- s.run(ctx, short) }()
		there.Write(framed(hello))
		first := make([]byte, 1) // the order is being written, and goes no further
		there.Read(first)
		stop()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
		<-ran
		if more, _ := io.ReadAll(there); len(more) > 0 {
			t.Errorf("%d more bytes came", len(more))
		}
		if len(s.unidentified)+len(s.identified) > 0 {
			t.Errorf("%d strangers, %d known in the end", len(s.unidentified), len(s.identified))
		}
	})
	t.Run("no goroutine is left", func(t *testing.T) {
		if left := ours(); left != "" {
			t.Fatalf("one of an earlier story is left:\n%s", left)
		}
		t.Run("of one with proxies, collectors, strangers and a reload under way", func(t *testing.T) {
			d, next := discovers(t), discovers(t)
			d.answers <- "silence"
			c, address, _ := runs(t, d.address, two, func(l *limits) { l.watchMargin = patience })
			for node := range 5 {
				p := calls(t, address)
				p.says(helloOf(node))
				p.gets()
				calls(t, address).says(agent)
				calls(t, address)
			}
			if ours() == "" {
				t.Error("its goroutines cannot be told from others")
			}
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		})
		if left := ours(); left != "" { // Serve has returned
			t.Errorf("left:\n%s", left)
		}
	})
}

// ours gives the goroutines that a controller has started, by their stacks.
func ours() (left string) {
	stacks := make([]byte, 1<<20)
	for _, one := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		for _, actor := range []string{"(*peer).run(", "(*peer).write(", "(*module).run(", "(*list).run(", "(*server).run("} {
			if strings.Contains(one, "wheelrill/controller."+actor) {
				left += one + "\n\n"
				break
			}
		}
	}
	return left
}

// deaf is an address on which connections are neither taken nor refused.
func deaf(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for { // until its backlog is full
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}
