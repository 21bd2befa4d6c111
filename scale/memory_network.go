package scale

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// network connects the nodes of one process by connections in memory. It can cut off a region: data
// sent into or out of the region waits until the cut ends, and so do dials and closes, as on a path
// that loses all packets.
type network struct {
	mutex     sync.Mutex
	endpoints map[string]endpoint
	healed    chan struct{}  // closed when the present cut ends; nil while there is no cut
	cutRegion int            // the region that is cut off; only valid while there is a cut
	closing   []net.Conn     // connections that were closed during the cut; heal completes their close
	serving   sync.WaitGroup // waits for the goroutines that accept connections
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

// leave removes the endpoint of a name. Later dials to the name are refused.
func (n *network) leave(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.endpoints, name)
}

// dial connects a node in the given region to the node of the given name. While a cut separates the
// two nodes, dial waits.
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

// redialInterval is the interval at which a dial is repeated during a cut. TCP waits for the same
// time before it sends the first packet of a connection again.
const redialInterval = time.Second

// lookUp returns the endpoint of a name. If a cut separates the endpoint from the given region,
// healed is the channel that is closed when the cut ends, otherwise nil.
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

// heal ends the cut, and completes the closes that waited for the end of the cut.
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
	from, to int           // region of this end of the connection, and region of the other end
	once     sync.Once     // ensures that the channel closed is closed only once
	closed   chan struct{} // closed when Close is called

	mutex         sync.Mutex
	writeDeadline time.Time // deadline of writes; the zero time if no deadline is set
}

// SetWriteDeadline sets the deadline of writes. The time that a write waits for the end of a cut
// counts towards the deadline.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = t
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write sends data to the other end. While a cut separates the two ends, Write waits.
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

// awaitHealing waits for the end of the cut. It returns an error if the write deadline passes or
// this end of the connection is closed first.
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

// Close closes this end of the connection at once, and the other end as soon as no cut separates
// the two ends.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mutex.Lock()
	isCut := c.network.cutBetween(c.from, c.to) != nil
	if isCut {
		c.network.closing = append(c.network.closing, c.Conn)
	}
	c.network.mutex.Unlock()
	if isCut {
		return c.SetDeadline(time.Unix(1, 0)) // makes pending reads and writes at this end fail
	}
	return c.Conn.Close()
}
