// Package frame writes and reads messages on a stream. Each message is a header and a body in CBOR.
// The header is the length of the body in four bytes, the most significant byte first (big-endian).
// The functions may be called concurrently on different streams.
package frame

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/internal/intake"
)

// HeaderBytes is the size of the header in front of each message.
const HeaderBytes = 4

const initialBufferBytes = 256

// TooLargeError is the error for a message that is longer than the reader allows. The stream cannot
// be read any further.
type TooLargeError struct {
	// Size is the number of bytes of the message, without the header.
	Size int
	// Max is the largest allowed Size.
	Max int
}

// Error returns a text with Size and Max.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("frame: message of %d bytes exceeds the bound of %d bytes", e.Size, e.Max)
}

// Append appends a message with its header to a buffer. If the message cannot be encoded, the
// buffer keeps its previous content.
func Append(to *bytes.Buffer, message any) error {
	start := to.Len()
	to.Write(make([]byte, HeaderBytes))
	if err := cbor.MarshalToBuffer(message, to); err != nil {
		to.Truncate(start)
		return err
	}
	framed := to.Bytes()[start:]
	binary.BigEndian.PutUint32(framed, uint32(len(framed)-HeaderBytes))
	return nil
}

// Write writes one message with its header.
func Write(to io.Writer, message any) error {
	var framed bytes.Buffer
	if err := Append(&framed, message); err != nil {
		return err
	}
	_, err := to.Write(framed.Bytes())
	return err
}

// Read reads one message of at most maxBytes, without the header. The error is io.EOF if the stream
// ends directly before a header or directly before a body, io.ErrUnexpectedEOF if the stream ends
// within a header or a body, and TooLargeError if the message exceeds maxBytes.
func Read(from io.Reader, maxBytes int, into any) error {
	_, err := ReadWith(from, nil, maxBytes, into)
	return err
}

// ReadWith reads like Read, through a buffer that it returns for reuse and that may have grown. The
// decoded message does not refer to the buffer, as CBOR decoding copies.
func ReadWith(from io.Reader, buffer []byte, maxBytes int, into any) ([]byte, error) {
	if cap(buffer) < HeaderBytes {
		buffer = make([]byte, initialBufferBytes)
	}
	header := buffer[:HeaderBytes]
	if _, err := io.ReadFull(from, header); err != nil {
		return buffer, err
	}
	size := int64(binary.BigEndian.Uint32(header))
	if size > int64(maxBytes) {
		return buffer, TooLargeError{Size: int(size), Max: maxBytes}
	}
	buffer, err := readBody(from, buffer, int(size), nil)
	if err != nil {
		return buffer, err
	}
	return buffer, cbor.Unmarshal(buffer, into)
}

// readBody reads a body into a buffer, which grows as bytes arrive. The error is io.EOF if the stream
// ends before the first byte, and io.ErrUnexpectedEOF if it ends later.
func readBody(from io.Reader, buffer []byte, size int, progress func()) ([]byte, error) {
	buffer, err := intake.ReadBody(from, buffer, size, progress)
	if err == io.EOF && len(buffer) > 0 {
		err = io.ErrUnexpectedEOF
	}
	return buffer, err
}
