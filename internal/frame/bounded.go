package frame

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/internal/intake"
)

const (
	// smallMessage is the size in bytes up to which a message is read without a lease.
	smallMessage = 4 << 10
	// memoryPerByte is the memory that a message takes for each of its bytes while it is read.
	memoryPerByte = 2
	// memoryPerItem is the memory that one item of a message may take when it is decoded, in bytes.
	memoryPerItem = 128
	// smallDecoding is the memory in bytes up to which a message is decoded without a lease.
	smallDecoding = memoryPerItem * smallMessage
)

// ErrStalled means that a message was not complete in time, while others waited for its memory.
var ErrStalled = errors.New("frame: the message was not complete in time")

// Bounds bounds the memory of the messages that several connections receive: while they are read,
// and while they are decoded. A nil *Bounds does not bound it.
type Bounds struct {
	reading, decoding *intake.Memory
}

// NewBounds returns bounds that share the memory for reading with other readers, and use as much
// again for decoding.
func NewBounds(reading *intake.Memory) *Bounds {
	return &Bounds{reading: reading, decoding: intake.NewMemory(reading.Total())}
}

// Read reads one message from a connection like ReadWith. While other messages wait for memory, it
// gives up a message that stalls, with ErrStalled. It returns intake.ErrTooLarge for a message that
// needs more memory than there is.
func (b *Bounds) Read(conn net.Conn, from io.Reader, buffer []byte, maxBytes int, into any) ([]byte, error) {
	if b == nil {
		return ReadWith(from, buffer, maxBytes, into)
	}
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return buffer, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(maxBytes) {
		return buffer, TooLargeError{Size: int(size), Max: maxBytes}
	}
	buffer, err := b.readBody(conn, from, buffer, int(size))
	if err != nil {
		return buffer, err
	}
	return buffer, b.decode(buffer, into)
}

// readBody reads a body of the given size, as soon as there is memory for it.
func (b *Bounds) readBody(conn net.Conn, from io.Reader, buffer []byte, size int) ([]byte, error) {
	if size <= smallMessage {
		return readBody(from, buffer, size, nil)
	}
	stopReading := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) } // fails only on a closed connection
	lease, err := b.reading.Acquire(int64(size)*memoryPerByte, nil, stopReading)
	if err != nil {
		return buffer, err
	}
	defer lease.Release()
	buffer, err = readBody(from, buffer, size, lease.Progress)
	if !lease.Complete() {
		return buffer, ErrStalled
	}
	return buffer, err
}

// decode decodes a message, as soon as there is memory for its items.
func (b *Bounds) decode(body []byte, into any) error {
	if need := int64(countItems(body)) * memoryPerItem; need > smallDecoding {
		lease, err := b.decoding.Acquire(need, nil, func() {})
		if err != nil {
			return err
		}
		defer lease.Release()
		lease.Complete()
	}
	return cbor.Unmarshal(body, into)
}

// countItems returns the number of data items in a CBOR message (RFC 8949), up to the first byte that
// is not well-formed.
func countItems(body []byte) (items int) {
	const (
		majorBytes, majorText     = 2, 3 // major types whose argument is the number of bytes that follow
		firstSized, firstReserved = 24, 28
	)
	for len(body) > 0 {
		items++
		major, argument := body[0]>>5, uint64(body[0]&0x1f)
		body = body[1:]
		if argument >= firstSized && argument < firstReserved {
			width := 1 << (argument - firstSized)
			if len(body) < width {
				return items
			}
			argument = 0
			for _, b := range body[:width] {
				argument = argument<<8 | uint64(b)
			}
			body = body[width:]
		} else if argument >= firstReserved {
			argument = 0 // an indefinite length, or the end of one
		}
		if major == majorBytes || major == majorText {
			if argument > uint64(len(body)) {
				return items
			}
			body = body[argument:]
		}
	}
	return items
}
