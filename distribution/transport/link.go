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
	readBufferBytes     = 512     // of each connection
	maxIdleBufferBytes  = 4 << 10 // a read buffer that grew beyond is freed after the message
	maxPooledBatchBytes = 64 << 10
)

// link is a connection to one peer. A reader lives as long as it; a writer only while something waits to be written, so
// that an idle link costs one goroutine.
type link struct {
	transport *Transport
	id        distribution.Link      // used by the event loop alone
	allowed   func(name string) bool // names under which the peer may subscribe; nil for any
	cancel    context.CancelFunc     // of the dial; nil for an accepted link

	mutex       sync.Mutex             // of the fields below
	conn        net.Conn               // nil while it is dialled; set once
	queue       []distribution.Message // at most Bounds.QueueCount
	queuedBytes int                    // by the messages' estimates, with what is being written; at most Bounds.QueueBytes
	writing     bool                   // the writer runs
	closing     bool                   // nothing is queued any more; the connection is closed once the queue is written
}

// attach gives a dialled link its connection; false if it was closed meanwhile.
func (l *link) attach(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing {
		return false
	}
	l.conn = conn
	return true
}

// send queues a message, and starts a writer if none runs. False: the queue is full.
func (l *link) send(m distribution.Message) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing || l.conn == nil {
		return true // nobody will read it; the event loop hears of that
	}
	bounds := l.transport.bounds
	size := m.Size()
	full := len(l.queue) >= bounds.QueueCount || l.queuedBytes+size > bounds.QueueBytes
	if l.queuedBytes > 0 && full { // a single message of any size is let through
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

// close ends the link once what is queued is written, or CloseTimeout has passed.
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

// abort ends the link at once.
func (l *link) abort() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closing = true
	l.queue = nil
	if l.conn != nil {
		l.conn.Close()
	}
}

// batchPool holds buffers of at most maxPooledBatchBytes, as a writer needs one for a moment only.
var batchPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends what is queued until nothing is, or the connection fails.
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
			l.abort() // the reader sees it, and says so
			return
		}
	}
}

// writeBatch encodes messages and writes them in one call; false if that fails.
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

// nextBatch takes what is to be written, and gives it a deadline; false if there is nothing, which ends the writer.
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

// read hands the event loop what the peer sends, until the connection ends or a message breaks a rule.
func (l *link) read() {
	t := l.transport
	defer func() {
		l.conn.Close()
		t.post(event{kind: eventClosed, link: l})
	}()
	from := bufio.NewReaderSize(countingConn{l.conn, t}, readBufferBytes)
	var buffer []byte
	for {
		var envelope distribution.Envelope
		var err error
		buffer, err = frame.ReadWith(from, buffer, t.bounds.MessageBytes, &envelope)
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

// allows tells whether the peer may send that: it subscribes under its own names alone.
func (l *link) allows(m distribution.Message) bool {
	subscribe, subscribes := m.(*distribution.Subscribe)
	return !subscribes || l.allowed == nil || l.allowed(subscribe.Name)
}

// countingConn counts the bytes that come in.
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
