package transport

import (
	"context"
	"net"
	"time"

	"wheelrill/distribution"
)

// Config is what a transport is started with. Apply and Log are called by the event loop: they must not wait, nor call
// the transport.
type Config struct {
	// Node is the configuration of the node.
	Node distribution.Config
	// Dial connects to a peer by its name, with all that has to be sent before the first message. It must return once
	// its context ends.
	Dial func(ctx context.Context, peer string) (net.Conn, error)
	// Apply is told each change, in order; if it is complete, its entries are all that there is. Nil for nobody.
	Apply func(change distribution.Change, complete bool)
	// Log is told events; nil for nobody.
	Log func(event distribution.Event)
	// Bounds are those of the transport; what is 0 has its default.
	Bounds Bounds
}

// Bounds are the sizes, counts and times of a transport.
type Bounds struct {
	// Tick is the time between two ticks of the node.
	Tick time.Duration
	// DialTimeout is the time that a dial may take.
	DialTimeout time.Duration
	// WriteTimeout is the time that what is queued for a peer may take to be written.
	WriteTimeout time.Duration
	// CloseTimeout is the same, once the link is to be closed.
	CloseTimeout time.Duration
	// Mailbox is the number of events that wait for the event loop; readers wait beyond.
	Mailbox int
	// QueueCount is the number of messages that wait for a peer; beyond, its link is closed.
	QueueCount int
	// QueueBytes bounds the same messages by their estimated sizes.
	QueueBytes int
	// MessageBytes bounds one message that a peer sends.
	MessageBytes int
	// Callers is the number of accepted connections at a time; the next is closed at once.
	Callers int
}

// Defaults of the bounds, in their units.
const (
	DefaultTick         = 100 * time.Millisecond
	DefaultDialTimeout  = 2 * time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultCloseTimeout = 500 * time.Millisecond
	DefaultMailbox      = 64
	DefaultQueueCount   = 256
	DefaultQueueBytes   = 512 << 10
	DefaultMessageBytes = 4 << 20
	DefaultCallers      = 1024
)

func (b Bounds) withDefaults() Bounds {
	return Bounds{
		Tick:         valueOr(b.Tick, DefaultTick),
		DialTimeout:  valueOr(b.DialTimeout, DefaultDialTimeout),
		WriteTimeout: valueOr(b.WriteTimeout, DefaultWriteTimeout),
		CloseTimeout: valueOr(b.CloseTimeout, DefaultCloseTimeout),
		Mailbox:      valueOr(b.Mailbox, DefaultMailbox),
		QueueCount:   valueOr(b.QueueCount, DefaultQueueCount),
		QueueBytes:   valueOr(b.QueueBytes, DefaultQueueBytes),
		MessageBytes: valueOr(b.MessageBytes, DefaultMessageBytes),
		Callers:      valueOr(b.Callers, DefaultCallers),
	}
}

// valueOr is a value, or a default where it is not given.
func valueOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
