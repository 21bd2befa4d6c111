package controller

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// send puts a message into the outbox. It never blocks: if the outbox is full, because the peer
// does not read its messages, send returns errOutboxFull. After close it returns errClosed.
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

// writeMessages is the writer of the connection. It sends the messages in the outbox until the
// connection is closed or, after the end of the reader, until the outbox is empty. Before the loop
// is ready it sends no message, not even the answer to a probe.
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

// awaitReady waits until the loop is ready, so that the writer may send messages. It returns false
// if the connection is closed before that. It also returns false if the reader ends before that,
// and the outbox is empty or awaitsReady is false.
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

// nextMessage waits for the next message in the outbox. It returns nil after the last message.
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

// deliver writes a message. As this process itself may have stalled past the write deadline, a
// timeout is followed by a short final write with limits.finalReadTimeout. If the socket accepts
// any bytes in the final write, the full limits.writeTimeout starts again; otherwise the write has
// failed.
func (c *connection) deliver(message []byte) error {
	finalWrite := false // whether the write deadline has passed, and this write is the short final one
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

// endReading signals the end of the reader to the writer, and waits until the writer has sent the
// messages in the outbox. If the writer is not done in time, endReading closes the connection: at
// limits.identifyTimeout after the accept, or after limits.finalReadTimeout if that is later. The
// writer of an identified connection has the same time. The writer of an evicted connection has
// limits.finalReadTimeout.
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

// refuse sends an unidentified connection the reason for its end, and then reads and discards input
// for a short time: closing a socket that has unread bytes resets the connection, and the reset can
// reach the peer before the reason does.
func (c *connection) refuse(reason error) {
	linger := c.limits.lingerTimeout
	if c.evicted.Load() {
		linger = c.limits.finalReadTimeout
	}
	c.writeWithin(c.limits.finalReadTimeout)
	if _, err := c.socket.Write(errorMessage(reason)); err != nil {
		return
	}
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		c.readUntil(time.Now().Add(linger))
		// Errors and input after the refusal are ignored.
		_, _ = io.CopyN(io.Discard, c.socket, int64(c.limits.maxFrame))
	}
}
