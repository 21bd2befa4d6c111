package scale

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// network connects the nodes of one process by connections in memory. A region can be cut off: data
// sent into or out of it waits, and so do dials and closes, as on a path that loses all packets.
type network struct {
	mutex     sync.Mutex
	endpoints map[string]endpoint
	healed    chan struct{}  // closed when the present cut ends; nil without a cut
	cutRegion int            // the region that is cut off, while there is a cut
	closing   []net.Conn     // connections that were closed during the cut; heal completes the close
	serving   sync.WaitGroup // goroutines that accept connections
}

// endpoint is the region of a node, and the function that accepts its connections.
type endpoint struct {
	region int
	accept func(net.Conn)
}

func newNetwork() *network { return &network{endpoints: map[string]endpoint{}} }

// listen registers the function by which a node accepts connections under its name.
func (n *network) listen(name string, region int, accept func(net.Conn)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints[name] = endpoint{region, accept}
}

// leave removes a name. Dials to it are refused from then on.
func (n *network) leave(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.endpoints, name)
}

// dial connects a node in the given region to the node of the given name. It waits while a cut
// separates them.
func (n *network) dial(ctx context.Context, region int, name string) (net.Conn, error) {
	for {
		to, healed, err := n.lookUp(region, name)
		if err != nil {
			return nil, err
		}
		if healed == nil {
			near, far := net.Pipe()
			n.serving.Go(func() {
				to.accept(&memoryConn{Conn: far, network: n, from: to.region, to: region, closed: make(chan struct{})})
			})
			return &memoryConn{Conn: near, network: n, from: region, to: to.region, closed: make(chan struct{})}, nil
		}
		if err := pauseFor(ctx, redialInterval); err != nil {
			return nil, err
		}
	}
}

// redialInterval is the interval at which a dial is repeated during a cut. TCP sends the first
// packet of a connection again after the same time.
const redialInterval = time.Second

// lookUp returns the endpoint of a name. healed is not nil if a cut separates it from the region.
func (n *network) lookUp(region int, name string) (to endpoint, healed chan struct{}, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	to, ok := n.endpoints[name]
	if !ok {
		return to, nil, fmt.Errorf("dial %s: connection refused", name)
	}
	return to, n.cutBetween(region, to.region), nil
}

// cutBetween returns the channel that is closed when the cut between two regions ends, or nil if no
// cut separates them.
func (n *network) cutBetween(a, b int) chan struct{} {
	if n.healed != nil && (a == n.cutRegion) != (b == n.cutRegion) {
		return n.healed
	}
	return nil
}

// cutOff cuts off a region until heal is called.
func (n *network) cutOff(region int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cutRegion = region
	n.healed = make(chan struct{})
}

// heal ends the cut, and completes the closes that waited for its end.
func (n *network) heal() {
	n.mutex.Lock()
	closing := n.closing
	close(n.healed)
	n.healed = nil
	n.closing = nil
	n.mutex.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// memoryConn is one end of a connection in memory.
type memoryConn struct {
	net.Conn
	network  *network
	from, to int           // regions of this end and of the other end
	once     sync.Once     // guards the close of closed
	closed   chan struct{} // closed by Close

	mutex         sync.Mutex
	writeDeadline time.Time // zero if no deadline is set
}

// SetWriteDeadline sets the deadline of writes, which includes the time that a write waits for the
// end of a cut.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = t
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write sends data as soon as no cut separates the two ends.
func (c *memoryConn) Write(b []byte) (int, error) {
	for {
		c.network.mutex.Lock()
		healed := c.network.cutBetween(c.from, c.to)
		c.network.mutex.Unlock()
		if healed == nil {
			return c.Conn.Write(b)
		}
		if err := c.awaitHealing(healed); err != nil {
			return 0, err
		}
	}
}

// awaitHealing waits for the end of the cut, the write deadline or the close of this end, whichever
// comes first.
func (c *memoryConn) awaitHealing(healed <-chan struct{}) error {
	c.mutex.Lock()
	deadline := c.writeDeadline
	c.mutex.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-healed:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close closes this end at once, and the other end as soon as no cut separates them.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mutex.Lock()
	isCut := c.network.cutBetween(c.from, c.to) != nil
	if isCut {
		c.network.closing = append(c.network.closing, c.Conn)
	}
	c.network.mutex.Unlock()
	if isCut {
		return c.SetDeadline(time.Unix(1, 0)) // fails pending reads and writes at this end
	}
	return c.Conn.Close()
}
