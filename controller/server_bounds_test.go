package controller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener is a listener that counts its open connections, and records the maximum of that
// count.
type countingListener struct {
	*net.TCPListener
	open, maxOpen atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	open := l.open.Add(1)
	for maxOpen := l.maxOpen.Load(); open > maxOpen && !l.maxOpen.CompareAndSwap(maxOpen, open); {
		maxOpen = l.maxOpen.Load()
	}
	return &countedConn{TCPConn: conn, listener: l}, nil
}

// countedConn is a connection of a countingListener. Only its first close counts.
type countedConn struct {
	*net.TCPConn
	listener *countingListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.TCPConn.Close()
}

// TestConnectionLimit guards against more open connections than limits.maxConnections, and against
// the eviction of identified connections, when many silent clients connect.
func TestConnectionLimit(t *testing.T) {
	const proxyCount, limit, silentCount = 8, 24, 100
	c, err := New(Identity{}, configuration(newFakeDiscovery(t).address, twoEndpoints), NewLogger(newLogBuffer()))
	if err != nil {
		t.Fatal(err)
	}
	c.limits.maxConnections, c.limits.maxUnidentified, c.limits.minEvictAge = limit, limit-4, time.Millisecond
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{TCPListener: tcp.(*net.TCPListener)}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.loop.run(ctx) })
	running.Go(func() {
		if err := (&server{limits: c.limits, loop: c.loop, log: c.log}).run(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); running.Wait() })

	address := tcp.Addr().String()
	var proxies []*client
	for node := range proxyCount {
		proxy := dial(t, address)
		proxy.send(helloOf(node))
		proxy.receive()
		proxies = append(proxies, proxy)
	}
	var silent []*client
	for range silentCount {
		silent = append(silent, dial(t, address))
	}
	for i, s := range silent {
		if !s.isRefused() {
			t.Fatalf("silent connection %d was not closed", i)
		}
	}
	if maxOpen := listener.maxOpen.Load(); maxOpen != limit {
		t.Errorf("at most %d connections were open at once, want exactly the limit of %d", maxOpen, limit)
	}
	for _, proxy := range proxies { // the proxies were not evicted, so each gets an answer
		proxy.send(probe)
		proxy.receive()
	}
}
