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
	t.Run("Serve with an ended context returns nil before it listens", func(t *testing.T) {
		c, err := New(Identity{}, configuration("127.0.0.1:9", twoEndpoints), NewLogger(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if err := c.Serve(ctx); err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
	})
	t.Run("a discovery server that accepts no connection does not delay the shutdown", func(t *testing.T) {
		// serve shuts the controller down at the end of the test, and fails the test if that takes
		// too long.
		serve(t, newUnresponsiveAddress(t), twoEndpoints, func(l *limits) { l.dialTimeout = testTimeout })
	})
	t.Run("a peer that reads nothing does not delay the shutdown, and gets no further bytes", func(t *testing.T) {
		loop, _ := newIdleLoop(t)
		ctx, stop := context.WithCancel(t.Context())
		local, remote := net.Pipe()
		listener := &scriptedListener{Listener: &net.TCPListener{}, conns: []net.Conn{local}, done: ctx.Done()}
		ended, ran := make(chan error, 1), make(chan struct{})
		s := &server{limits: loop.limits, loop: loop, log: loop.log}
		go func() { defer close(ran); loop.run(ctx) }()
		go func() { ended <- s.run(ctx, listener) }()
		remote.Write(frame(hello))
		first := make([]byte, 1) // the write of the push has begun, and blocks after this byte
		remote.Read(first)
		stop()
		if err := <-ended; err != nil {
			t.Errorf("run returned %v, want nil", err)
		}
		<-ran
		if rest, _ := io.ReadAll(remote); len(rest) > 0 {
			t.Errorf("%d more bytes arrived, want none", len(rest))
		}
		if len(s.unidentified)+len(s.identified) > 0 {
			t.Errorf("%d unidentified and %d identified connections after run, want none",
				len(s.unidentified), len(s.identified))
		}
	})
	t.Run("no goroutine is left after shutdown", func(t *testing.T) {
		if remaining := controllerGoroutines(); remaining != "" {
			t.Fatalf("goroutines of an earlier test are left:\n%s", remaining)
		}
		t.Run("with proxies, collectors, unidentified connections and a pending reload", func(t *testing.T) {
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
			// The last of goroutineFunctions is left out: without distribution of configuration,
			// its goroutine does not run.
			for _, function := range goroutineFunctions[:5] {
				if !strings.Contains(running, functionName(function)+"(") {
					t.Errorf("%s is not found among the running goroutines", functionName(function))
				}
			}
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		})
		if remaining := controllerGoroutines(); remaining != "" { // no goroutine may remain after Serve
			t.Errorf("goroutines are left after Serve:\n%s", remaining)
		}
	})
}

// goroutineFunctions are the functions that the goroutines of a controller run. They are function
// values, not names, so that renaming a function updates this list.
var goroutineFunctions = []any{(*connection).run, (*connection).writeMessages, (*eventLoop).run, (*endpointWatcher).run, (*server).run,
	(*distributor).run}

// functionName returns the name of a function as it appears in stack traces.
func functionName(function any) string {
	return runtime.FuncForPC(reflect.ValueOf(function).Pointer()).Name()
}

// controllerGoroutines returns the stack traces of the running goroutines that a controller has
// started.
func controllerGoroutines() (found string) {
	stacks := make([]byte, 1<<20)
	for _, stack := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		runs := func(function any) bool { return strings.Contains(stack, functionName(function)+"(") }
		if slices.ContainsFunc(goroutineFunctions, runs) {
			found += stack + "\n\n"
		}
	}
	return found
}

// newUnresponsiveAddress returns an address on which connections are neither accepted nor refused.
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
	socketAddress, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", socketAddress.(*syscall.SockaddrInet4).Port)
	for { // connect until the listener's backlog is full
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}
