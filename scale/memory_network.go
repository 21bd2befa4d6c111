package scale

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// network connects nodes of one process by connections in memory. A region can be cut off: what is sent into it or out
// of it waits, and so do dials and closes, as on a way that loses all packets.
type network struct {
	mutex     sync.Mutex
	endpoints map[string]endpoint
	healed    chan struct{} // closed with the end of a cut; nil while there is none
	cutRegion int           // the region, while there is a cut
	closing   []net.Conn    // closed on one side during a cut, which the other side hears of later
	serving   sync.WaitGroup
}

// endpoint is where a node takes connections in.
type endpoint struct {
	region int
	accept func(net.Conn)
}

func newNetwork() *network { return &network{endpoints: map[string]endpoint{}} }

// listen has a node take connections in under its name.
func (n *network) listen(name string, region int, accept func(net.Conn)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints[name] = endpoint{region, accept}
}

// leave has dials to a name be refused.
func (n *network) leave(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.endpoints, name)
}

// dial connects a node in a region to another by its name.
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

// redialInterval is how long the first packet of a connection is waited for before it is sent again, as TCP has it.
const redialInterval = time.Second

// lookUp looks a name up; healed is not nil where a cut lies between.
func (n *network) lookUp(region int, name string) (to endpoint, healed chan struct{}, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	to, ok := n.endpoints[name]
	if !ok {
		return to, nil, fmt.Errorf("dial %s: connection refused", name)
	}
	return to, n.cutBetween(region, to.region), nil
}

// cutBetween gives what ends with the cut between two regions, nil where there is none.
func (n *network) cutBetween(a, b int) chan struct{} {
	if n.healed != nil && (a == n.cutRegion) != (b == n.cutRegion) {
		return n.healed
	}
	return nil
}

// cutOff cuts a region off until heal.
func (n *network) cutOff(region int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cutRegion = region
	n.healed = make(chan struct{})
}

// heal ends the cut.
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

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network  *network
	from, to int
	once     sync.Once
	closed   chan struct{}

	mutex         sync.Mutex
	writeDeadline time.Time // zero for none
}

// SetWriteDeadline bounds writes, also while a cut holds them.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = t
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write sends, once no cut lies between.
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

// awaitHealing for the end of a cut, the deadline or the close, whichever comes first.
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

// Close ends it here at once, and at the other end once no cut lies between.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mutex.Lock()
	isCut := c.network.cutBetween(c.from, c.to) != nil
	if isCut {
		c.network.closing = append(c.network.closing, c.Conn)
	}
	c.network.mutex.Unlock()
	if isCut {
		return c.SetDeadline(time.Unix(1, 0)) // ends reads and writes of ours
	}
	return c.Conn.Close()
}
