package controller

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"wheelrill/internal/intake"
)

// readMessages reads and dispatches messages until the connection ends, and returns the reason;
// io.EOF is a regular end. A message that is not a JSON object ends the connection. So does an
// error that dispatch returns. Other invalid messages are skipped.
func (c *connection) readMessages() error {
	in := intake.NewReader(c)
	for {
		size, err := c.readMessage(in)
		select {
		case <-c.closed: // what was read before, but not handled, is void
			err = errClosed
		default:
		}
		if err == nil {
			c.lastMessageAt.Store(c.loop.clock())
			err = c.handleMessage()
		}
		c.releaseMessage()
		if err != nil {
			return err
		}
		c.pace.add(size)
	}
}

// readMessage reads one message into body, up to the size that the connection's kind allows, and
// returns its size. A message of more than limits.smallMessage waits for memory, which all
// connections share.
func (c *connection) readMessage(in *bufio.Reader) (size int, err error) {
	maxSize := c.limits.maxFrame
	if c.kind == kindUnidentified {
		maxSize = c.limits.maxFirstFrame
	}
	if size, err = readFrameLength(in, maxSize); err == nil {
		err = c.readBody(in, size)
	}
	switch {
	case err == nil:
		return size, nil
	case c.lease.Revoked():
		return 0, errMessageStalled
	case c.kind == kindUnidentified && errors.Is(err, errTimeout):
		return 0, errIdentifyTimeout
	default:
		return 0, err
	}
}

// readFrameLength reads the length of the next message. It returns io.EOF if the stream ends between
// messages.
func readFrameLength(in io.Reader, maxSize int) (size int, err error) {
	var length [lengthSize]byte
	if n, err := io.ReadFull(in, length[:]); err != nil {
		if n > 0 {
			return 0, fmt.Errorf("cut off after %d bytes of a length: %w", n, err)
		}
		return 0, err
	}
	announced := int64(binary.BigEndian.Uint32(length[:]))
	if announced == 0 || announced > int64(maxSize) {
		return 0, fmt.Errorf("a message of %d bytes, %d at most: %w", announced, maxSize, errUnreadable)
	}
	return int(announced), nil
}

// readBody reads a message of the given size.
func (c *connection) readBody(in io.Reader, size int) (err error) {
	progress := func() {}
	if size > c.limits.smallMessage {
		stopReading := func() { c.readUntil(c.acceptedAt) }
		c.notRead.Store(true)
		c.lease, err = c.loop.messageMemory.Acquire(int64(size)*memoryPerMessageByte, c.closed, stopReading)
		c.lastMessageAt.Store(c.loop.clock())
		c.notRead.Store(false)
		if errors.Is(err, intake.ErrTooLarge) {
			return fmt.Errorf("a message of %d bytes: %w", size, errMessageTooLarge)
		}
		if err != nil {
			return errClosed
		}
		progress = c.lease.Progress
	}
	if c.body, err = intake.ReadBody(in, c.body, size, progress); err != nil {
		return fmt.Errorf("cut off after %d of %d bytes: %w", len(c.body), size, err)
	}
	if c.lease != nil && !c.lease.Complete() {
		c.readUntil(time.Time{}) // the message was complete just after it was given up
	}
	return nil
}

// releaseMessage releases the memory of the message that was read.
func (c *connection) releaseMessage() {
	if cap(c.body) > c.limits.smallMessage {
		c.body = nil
	}
	c.lease.Release()
	c.lease = nil
}

// handleMessage parses the message in body, dispatches it, and queues the event that it leads to.
func (c *connection) handleMessage() error {
	text, duplicate := c.body, false
	if len(text) > c.limits.smallMessage {
		var err error
		if text, duplicate, err = c.reduceMessage(); err != nil {
			return err
		}
	}
	parser := <-c.loop.parsers
	event, err := c.parseAndDispatch(parser, text, duplicate)
	c.loop.parsers <- parser
	if event != nil {
		c.notRead.Store(true)
		c.queue.put(event, c.closed, c.loop.stopped)
		c.notRead.Store(false)
	}
	return err
}

// reduceMessage reduces the message in body. One large message is reduced at a time. Both the wait for
// that and the reduction end with the connection.
func (c *connection) reduceMessage() (reduced []byte, duplicateKey bool, err error) {
	select {
	case c.loop.largeMessages <- struct{}{}:
	case <-c.closed:
		return nil, false, errClosed
	}
	defer func() { <-c.loop.largeMessages }()
	return reduceMessage(c.body, func() error {
		select {
		case <-c.closed:
			return errClosed
		case <-time.After(largeMessagePause):
			return nil
		}
	})
}

// parseAndDispatch returns the event that a message leads to, if any. duplicate states that a key
// occurs twice in a message that was reduced.
func (c *connection) parseAndDispatch(parser *fastjson.Parser, text []byte, duplicate bool) (event func(), err error) {
	message, err := parser.ParseBytes(text)
	if err != nil || message.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("a message that is no JSON object: %w", errUnreadable)
	}
	return c.dispatch(message, duplicate || duplicateKey(message) != "")
}

const (
	// memoryPerMessageByte is the memory that a large message may take for each of its bytes while it is
	// read: for the message, and for the smaller buffer that it is copied from.
	memoryPerMessageByte = 2
	// largeMessagePause is the pause within the reduction of a large message (tokensPerPause).
	largeMessagePause = time.Millisecond
)

// newParsers returns a channel with a number of parsers.
func newParsers(count int) chan *fastjson.Parser {
	parsers := make(chan *fastjson.Parser, count)
	for range count {
		parsers <- &fastjson.Parser{}
	}
	return parsers
}
