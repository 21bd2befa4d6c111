package controller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the connections that were accepted and not closed yet.
type countingListener struct {
	*net.TCPListener
	open, most atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	open := l.open.Add(1)
	for most := l.most.Load(); open > most && !l.most.CompareAndSwap(most, open); {
		most = l.most.Load()
	}
	return &countedConn{TCPConn: conn, listener: l}, nil
}

// countedConn counts its first close only.
type countedConn struct {
	*net.TCPConn
	listener *countingListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.TCPConn.Close()
}

func TestConnectionLimit(t *testing.T) {
	const joined, limit, flood = 8, 24, 100
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
	var parts sync.WaitGroup
	parts.Go(func() { c.loop.run(ctx) })
	parts.Go(func() {
		if err := (&server{limits: c.limits, loop: c.loop, log: c.log}).run(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); parts.Wait() })

	address := tcp.Addr().String()
	var proxies []*client
	for node := range joined {
		proxy := dial(t, address)
		proxy.send(helloOf(node))
		proxy.receive()
		proxies = append(proxies, proxy)
	}
	var silent []*client
	for range flood {
		silent = append(silent, dial(t, address))
	}
	for i, s := range silent {
		if !s.isRefused() {
			t.Fatalf("silent connection %d was not ended", i)
		}
	}
	if most := listener.most.Load(); most != limit {
		t.Errorf("%d connections were open at once, want the limit of %d to be reached and kept", most, limit)
	}
	for _, proxy := range proxies { // none of them made room
		proxy.send(probe)
		proxy.receive()
	}
}
