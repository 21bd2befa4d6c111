package transport

import (
	"context"
	"net"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
)

// Config holds the parameters of a transport. The event loop calls Apply and Log: they must neither
// block nor call the transport.
type Config struct {
	// Node is the configuration of the distribution.Node.
	Node distribution.Config
	// Dial connects to the peer with this name, and sends everything that has to precede the first
	// message. It must return once its context ends.
	Dial func(ctx context.Context, peer string) (net.Conn, error)
	// Apply receives each change, in order. If complete is set, the entries of the change are the
	// whole configuration. A nil Apply is not called.
	Apply func(change distribution.Change, complete bool)
	// Log receives the events of the node. A nil Log is not called.
	Log func(event distribution.Event)
	// Memory bounds the memory of messages on accepted connections; nil if it is not bounded.
	Memory *frame.Bounds
	// Bounds limits the transport; a bound that is not positive is replaced by its default.
	Bounds Bounds
}

// Bounds holds the sizes, counts and times that limit a transport.
type Bounds struct {
	// Tick is the interval between two calls of the node's Tick.
	Tick time.Duration
	// DialTimeout bounds the time of a dial.
	DialTimeout time.Duration
	// WriteTimeout bounds the time to write the messages that are queued for a peer.
	WriteTimeout time.Duration
	// CloseTimeout bounds, instead of WriteTimeout, the time to write the messages that are queued on
	// a link that is to be closed.
	CloseTimeout time.Duration
	// Mailbox is the number of events that can wait for the event loop. While the mailbox is full,
	// readers and goroutines that call methods wait.
	Mailbox int
	// QueueCount is the number of messages that can wait for a peer; the link is closed if one more
	// is sent.
	QueueCount int
	// QueueBytes bounds the sum of the estimated sizes of the messages that wait for a peer; a
	// single message to an empty queue may exceed it.
	QueueBytes int
	// MessageBytes bounds the size of one message from a peer.
	MessageBytes int
	// AcceptedConnections is the number of accepted connections that can be open at the same time;
	// one more is closed at once.
	AcceptedConnections int
}

// Defaults of the bounds; Mailbox, QueueCount and AcceptedConnections are counts, QueueBytes and
// MessageBytes are bytes.
const (
	DefaultTick                = 100 * time.Millisecond
	DefaultDialTimeout         = 2 * time.Second
	DefaultWriteTimeout        = 5 * time.Second
	DefaultCloseTimeout        = 500 * time.Millisecond
	DefaultMailbox             = 64
	DefaultQueueCount          = 256
	DefaultQueueBytes          = 512 << 10
	DefaultMessageBytes        = 4 << 20
	DefaultAcceptedConnections = 1024
)

func (b Bounds) withDefaults() Bounds {
	return Bounds{
		Tick:                valueOr(b.Tick, DefaultTick),
		DialTimeout:         valueOr(b.DialTimeout, DefaultDialTimeout),
		WriteTimeout:        valueOr(b.WriteTimeout, DefaultWriteTimeout),
		CloseTimeout:        valueOr(b.CloseTimeout, DefaultCloseTimeout),
		Mailbox:             valueOr(b.Mailbox, DefaultMailbox),
		QueueCount:          valueOr(b.QueueCount, DefaultQueueCount),
		QueueBytes:          valueOr(b.QueueBytes, DefaultQueueBytes),
		MessageBytes:        valueOr(b.MessageBytes, DefaultMessageBytes),
		AcceptedConnections: valueOr(b.AcceptedConnections, DefaultAcceptedConnections),
	}
}

// valueOr returns the value if it is positive, else the fallback.
func valueOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
