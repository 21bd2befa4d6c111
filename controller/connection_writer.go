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

// deliver writes a message, with the deadline limits.writeTimeout. As this process itself may have
// stalled past the deadline, a timeout is followed by one final write of the rest, with the short
// deadline limits.finalReadTimeout. If the final write times out too, but the socket has accepted
// some bytes in it, deliver starts again with the rest and the full limits.writeTimeout. If the
// socket has accepted no bytes in the final write, deliver returns the timeout. Any other error is
// returned at once.
func (c *connection) deliver(message []byte) error {
	finalWrite := false // whether the next write is the final one, with finalReadTimeout
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
// messages in the outbox. If the writer is not done at a time limit, endReading closes the
// connection. For an evicted connection, the time limit is limits.finalReadTimeout after the call
// of endReading. For any other connection, identified or not, it is limits.identifyTimeout after
// the accept, or limits.finalReadTimeout after the call if that is later.
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
