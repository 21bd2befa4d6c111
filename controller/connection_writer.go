package controller

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// send puts a message into the outbox. It never waits: a peer whose outbox is full does not take what it is sent.
func (c *connection) send(message []byte) error {
	select {
	case <-c.closed:
		return errClosed
	default:
	}
	select {
	case c.outbox <- message:
		return nil
	default:
		return errOutboxFull
	}
}

// writeMessages is the writer: it sends what waits, until the connection is closed or, when the reader has ended, the outbox is
// empty. Nothing leaves before the loop is ready, the answer to a probe among it.
func (c *connection) writeMessages() {
	if !c.awaitReady() {
		return
	}
	for message := c.nextMessage(); message != nil; message = c.nextMessage() {
		if err := c.deliver(message); err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// awaitReady waits until messages may leave; false if none will.
func (c *connection) awaitReady() bool {
	select {
	case <-c.loop.ready:
		return true
	case <-c.closed:
		return false
	case <-c.readDone:
	}
	if len(c.outbox) == 0 || !c.awaitsReady {
		return false
	}
	select {
	case <-c.loop.ready:
		return true
	case <-c.closed:
		return false
	}
}

// nextMessage waits for a message; nil if there will be none.
func (c *connection) nextMessage() []byte {
	select {
	case <-c.closed:
		return nil
	case message := <-c.outbox:
		return message
	case <-c.readDone:
	}
	select {
	case message := <-c.outbox:
		return message
	default:
		return nil
	}
}

// deliver writes a message. When the deadline has passed, what the socket takes all the same still counts, as it may be this process
// that stalled: after a last look in which anything was taken, the full time begins anew.
func (c *connection) deliver(message []byte) error {
	finalWrite := false // past the deadline: a last look
	for {
		timeout := c.limits.writeTimeout
		if finalWrite {
			timeout = c.limits.finalReadTimeout
		}
		c.writeWithin(timeout)
		written, err := c.socket.Write(message)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errTimeout) || finalWrite && written == 0 {
			return err
		}
		message = message[written:]
		finalWrite = !finalWrite
	}
}

// endReading tells the writer that nothing more is read, and lets it send what waits in the outbox: for as long as an unidentified
// connection may last, whatever this one is, and for finalReadTimeout at least.
func (c *connection) endReading(writer *sync.WaitGroup, reason error, awaitReady bool) {
	c.awaitsReady = awaitReady
	close(c.readDone)
	timeout := max(c.limits.finalReadTimeout, time.Until(c.acceptedAt.Add(c.limits.identifyTimeout)))
	if c.evicted.Load() {
		timeout = c.limits.finalReadTimeout
	}
	defer time.AfterFunc(timeout, func() { c.close(reason) }).Stop()
	writer.Wait()
}

// refuse tells an unidentified connection why it is closed, and then reads on for a moment: a close with bytes unread is a reset,
// and a reset can overtake the reason.
func (c *connection) refuse(reason error) {
	linger := c.limits.lingerTimeout
	if c.evicted.Load() {
		linger = c.limits.finalReadTimeout
	}
	c.writeWithin(c.limits.finalReadTimeout)
	if _, err := c.socket.Write(errorMessage(reason)); err != nil {
		return
	}
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.readUntil(time.Now().Add(linger))
		_, _ = io.CopyN(io.Discard, c.socket, int64(c.limits.maxFrame)) // what it still says is of no interest
	}
}
