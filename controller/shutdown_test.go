package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestShutdown(t *testing.T) {
	t.Run("before it listens it does not begin", func(t *testing.T) {
		c, err := New(Identity{}, configuration("127.0.0.1:9", twoEndpoints), NewLogger(io.Discard))
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
		serve(t, newUnresponsiveAddress(t), twoEndpoints, func(l *limits) { l.dialTimeout = testTimeout }) // and ends with the story
	})
	t.Run("a peer that reads nothing holds nothing up, and no push leaves that was not counted", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		short := &scriptedListener{Listener: &net.TCPListener{}, conns: []net.Conn{here}, done: ctx.Done()}
		ended, ran := make(chan error, 1), make(chan struct{})
		s := &server{limits: loop.limits, loop: loop, log: loop.log}
		go func() { defer close(ran); loop.run(ctx) }()
		go func() { ended <- s.run(ctx, short) }()
		there.Write(frame(hello))
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
			t.Errorf("%d unidentified connections, %d known in the end", len(s.unidentified), len(s.identified))
		}
	})
	t.Run("no goroutine is left", func(t *testing.T) {
		if left := controllerGoroutines(); left != "" {
			t.Fatalf("one of an earlier story is left:\n%s", left)
		}
		t.Run("of one with proxies, collectors, unidentified connections and a reload under way", func(t *testing.T) {
			discovery, next := newFakeDiscovery(t), newFakeDiscovery(t)
			discovery.answers <- "silence"
			c, address, _ := runController(t, discovery.address, twoEndpoints, func(l *limits) { l.watchMargin = testTimeout })
			for node := range 5 {
				proxy := dial(t, address)
				proxy.send(helloOf(node))
				proxy.receive()
				dial(t, address).send(agent)
				dial(t, address)
			}
			running := controllerGoroutines()
			for _, function := range goroutineFunctions[:5] { // nothing is distributed here
				if !strings.Contains(running, functionName(function)+"(") {
					t.Errorf("%s cannot be told from other goroutines", functionName(function))
				}
			}
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		})
		if left := controllerGoroutines(); left != "" { // Serve has returned
			t.Errorf("left:\n%s", left)
		}
	})
}

// goroutineFunctions are the functions that goroutines of a controller run, by type, so that a renaming takes this list along.
var goroutineFunctions = []any{(*connection).run, (*connection).writeMessages, (*eventLoop).run, (*endpointWatcher).run, (*server).run,
	(*distributor).run}

// functionName is a function's name as stacks have it.
func functionName(function any) string {
	return runtime.FuncForPC(reflect.ValueOf(function).Pointer()).Name()
}

// controllerGoroutines gives the goroutines that a controller has started, by their stacks.
func controllerGoroutines() (left string) {
	stacks := make([]byte, 1<<20)
	for _, one := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		runs := func(function any) bool { return strings.Contains(one, functionName(function)+"(") }
		if slices.ContainsFunc(goroutineFunctions, runs) {
			left += one + "\n\n"
		}
	}
	return left
}

// newUnresponsiveAddress is an address on which connections are neither taken nor refused.
func newUnresponsiveAddress(t *testing.T) string {
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
