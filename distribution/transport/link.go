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
	readBuffer = 512     // of each connection
	keptBuffer = 4 << 10 // a buffer that grew beyond is given back
	keptBatch  = 64 << 10
)

// link is a connection to one peer. A reader lives as long as it; a writer only while something waits to leave, so that
// an idle link costs one goroutine.
type link struct {
	transport *Transport
	id        distribution.Link      // the actor's alone
	allowed   func(name string) bool // names under which the peer may subscribe; nil for any

	mutex   sync.Mutex
	conn    net.Conn           // nil while it is dialled
	cancel  context.CancelFunc // of the dial
	queue   []distribution.Message
	queued  int // bytes, by the messages' estimates, with what is being written
	writing bool
	closing bool // nothing is sent any more; the connection is closed once all has left
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

// send queues a message. False: the queue is full.
func (l *link) send(m distribution.Message) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing || l.conn == nil {
		return true // nobody will read it; the actor hears of that
	}
	bounds, size := l.transport.bounds, m.Size()
	if l.queued > 0 && (len(l.queue) >= bounds.QueueCount || l.queued+size > bounds.QueueBytes) {
		return false
	}
	l.queue, l.queued = append(l.queue, m), l.queued+size
	if !l.writing {
		l.writing = true
		l.transport.running.Go(l.write)
	}
	return true
}

// close ends the link once what is queued has left, or has had its time.
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
	l.closing, l.queue = true, nil
	if l.conn != nil {
		l.conn.Close()
	}
}

var batches = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends what is queued until nothing is.
func (l *link) write() {
	batch := batches.Get().(*bytes.Buffer)
	defer func() {
		if batch.Cap() <= keptBatch {
			batches.Put(batch)
		}
	}()
	for {
		messages, ok := l.next()
		if !ok {
			return
		}
		batch.Reset()
		size := 0
		for _, m := range messages {
			size += m.Size()
			if frame.Append(batch, distribution.NewEnvelope(m)) != nil {
				l.abort()
				return
			}
		}
		n, err := l.conn.Write(batch.Bytes())
		l.transport.bytesOut.Add(int64(n))
		if err != nil {
			l.abort() // the reader sees it, and says so
			return
		}
		l.mutex.Lock()
		l.queued -= size
		l.mutex.Unlock()
	}
}

// next takes what is to be written, and gives it a deadline.
func (l *link) next() ([]distribution.Message, bool) {
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
	patience := l.transport.bounds.WriteTimeout
	if l.closing {
		patience = l.transport.bounds.CloseTimeout
	}
	l.conn.SetWriteDeadline(time.Now().Add(patience))
	return messages, true
}

// read hands the actor what the peer sends, until the connection ends.
func (l *link) read() {
	c := l.transport
	defer func() {
		l.conn.Close()
		c.post(event{kind: closed, link: l})
	}()
	from := bufio.NewReaderSize(counted{l.conn, c}, readBuffer)
	var buffer []byte
	for {
		var envelope distribution.Envelope
		var err error
		if buffer, err = frame.ReadWith(from, buffer, c.bounds.MessageBytes, &envelope); err != nil {
			return
		}
		if cap(buffer) > keptBuffer {
			buffer = nil
		}
		m, err := envelope.Message()
		if err != nil || !l.permits(m) || !c.post(event{kind: received, link: l, message: m}) {
			return
		}
	}
}

// permits tells whether the peer may say that: it subscribes under its own names alone.
func (l *link) permits(m distribution.Message) bool {
	s, subscribes := m.(*distribution.Subscribe)
	return !subscribes || l.allowed == nil || l.allowed(s.Name)
}

// counted counts what comes in.
type counted struct {
	net.Conn
	transport *Transport
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.bytesIn.Add(int64(n))
	return n, err
}
