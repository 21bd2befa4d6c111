package transport

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"wheelrill/distribution"
	"wheelrill/internal/frame"
)

const (
	readBufferBytes     = 512     // size in bytes of the read buffer of each connection
	maxIdleBufferBytes  = 4 << 10 // size in bytes; a read buffer larger than this is freed once its message is read
	maxPooledBatchBytes = 64 << 10
)

// link is a connection to one peer. Its reader runs until the connection ends; its writer runs only
// while messages wait to be written, so that an idle link costs one goroutine.
type link struct {
	transport *Transport
	id        distribution.Link      // identifier by which the node knows the link; used only on the event loop
	allowed   func(name string) bool // reports whether the peer may subscribe under a name; nil allows all names
	cancel    context.CancelFunc     // cancels the dial of the link; nil for an accepted link

	mutex       sync.Mutex             // guards the fields below
	conn        net.Conn               // connection to the peer; nil until the dial has succeeded; set once
	queue       []distribution.Message // messages that wait for the writer; at most Bounds.QueueCount
	queuedBytes int                    // estimated bytes of messages queued or being written; at most Bounds.QueueBytes
	writing     bool                   // the goroutine that writes queued messages to the connection runs
	// closing is set by close and abort: send then drops messages, and the connection is closed once
	// the queue is empty.
	closing bool
}

// attach sets the connection of a dialled link. It returns false if the link was closed before.
func (l *link) attach(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing {
		return false
	}
	l.conn = conn
	return true
}

// send queues a message, and starts a writer if none runs. It returns false if the queue is full.
func (l *link) send(m distribution.Message) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing || l.conn == nil {
		return true // the message is dropped; the event loop has closed the link or will get its eventClosed
	}
	bounds := l.transport.bounds
	size := m.Size()
	full := len(l.queue) >= bounds.QueueCount || l.queuedBytes+size > bounds.QueueBytes
	if l.queuedBytes > 0 && full { // an empty queue accepts a message of any size
		return false
	}
	l.queue = append(l.queue, m)
	l.queuedBytes += size
	if !l.writing {
		l.writing = true
		l.transport.goroutines.Go(l.write)
	}
	return true
}

// close ends the link once the queued messages are written, or CloseTimeout has passed.
func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing {
		return
	}
	l.closing = true
	switch {
	case l.conn == nil:
		l.cancel()
	case l.writing:
		l.conn.SetWriteDeadline(time.Now().Add(l.transport.bounds.CloseTimeout))
	default:
		l.conn.Close()
	}
}

// abort ends the link at once and drops the queued messages.
func (l *link) abort() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closing = true
	l.queue = nil
	if l.conn != nil {
		l.conn.Close()
	}
}

// batchPool holds buffers of at most maxPooledBatchBytes for reuse, as a writer needs its buffer
// only while it runs.
var batchPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write writes the queued messages until the queue is empty or the connection fails.
func (l *link) write() {
	batch := batchPool.Get().(*bytes.Buffer)
	defer func() {
		if batch.Cap() <= maxPooledBatchBytes {
			batchPool.Put(batch)
		}
	}()
	for {
		messages, found := l.nextBatch()
		if !found {
			return
		}
		if !l.writeBatch(batch, messages) {
			l.abort() // closes the connection, so that the reader fails and posts eventClosed
			return
		}
	}
}

// writeBatch encodes messages and writes them in one call. It returns false if the encoding or the
// write fails.
func (l *link) writeBatch(batch *bytes.Buffer, messages []distribution.Message) bool {
	batch.Reset()
	size := 0
	for _, m := range messages {
		size += m.Size()
		if frame.Append(batch, distribution.NewEnvelope(m)) != nil {
			return false
		}
	}
	written, err := l.conn.Write(batch.Bytes())
	l.transport.bytesOut.Add(int64(written))
	if err != nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queuedBytes -= size
	return true
}

// nextBatch takes all queued messages and sets the deadline to write them. It returns false if the
// queue is empty, which ends the writer.
func (l *link) nextBatch() ([]distribution.Message, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.queue) == 0 {
		l.writing = false
		if l.closing {
			l.conn.Close()
		}
		return nil, false
	}
	messages := l.queue
	l.queue = nil
	timeout := l.transport.bounds.WriteTimeout
	if l.closing {
		timeout = l.transport.bounds.CloseTimeout
	}
	l.conn.SetWriteDeadline(time.Now().Add(timeout))
	return messages, true
}

// read posts the messages from the peer to the event loop until the connection ends or a message
// breaks a rule.
func (l *link) read() {
	t := l.transport
	defer func() {
		l.conn.Close()
		t.post(event{kind: eventClosed, link: l})
	}()
	from := bufio.NewReaderSize(countingConn{l.conn, t}, readBufferBytes)
	var buffer []byte
	var memory *frame.Bounds // a parent, which this process has dialed, is not bounded
	if isAccepted := l.cancel == nil; isAccepted {
		memory = t.config.Memory
	}
	for {
		var envelope distribution.Envelope
		var err error
		buffer, err = memory.Read(l.conn, from, buffer, t.bounds.MessageBytes, &envelope)
		if err != nil {
			return
		}
		if cap(buffer) > maxIdleBufferBytes {
			buffer = nil
		}
		m, err := envelope.Message()
		if err != nil || !l.allows(m) {
			return
		}
		if !t.post(event{kind: eventReceived, link: l, message: m}) {
			return
		}
	}
}

// allows reports whether the peer may send a message: a Subscribe must have a name that the peer
// may subscribe under.
func (l *link) allows(m distribution.Message) bool {
	subscribe, subscribes := m.(*distribution.Subscribe)
	return !subscribes || l.allowed == nil || l.allowed(subscribe.Name)
}

// countingConn counts the received bytes.
type countingConn struct {
	net.Conn
	transport *Transport
}

// Read implements net.Conn.
func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.transport.bytesIn.Add(int64(n))
	return n, err
}
