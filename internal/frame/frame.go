// Package frame writes and reads messages on a stream: four bytes of length, the highest first, then CBOR. Its functions
// may be called at once on different streams.
package frame

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// HeaderBytes is the number of bytes before a message.
const HeaderBytes = 4

const initialBufferBytes = 256

// TooLargeError is what a reader returns for a message over its bound. The stream cannot be read on.
type TooLargeError struct {
	// Size is the number of bytes of the message, without the header.
	Size int
	// Max is the bound on it.
	Max int
}

// Error says both sizes.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("frame: a message of %d bytes, %d at most", e.Size, e.Max)
}

// Append adds a message as it goes onto the stream. A message that cannot be encoded leaves the buffer as it was.
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

// Write writes one message.
func Write(to io.Writer, message any) error {
	var framed bytes.Buffer
	if err := Append(&framed, message); err != nil {
		return err
	}
	_, err := to.Write(framed.Bytes())
	return err
}

// Read reads one message of at most maxBytes. At the end of the stream the error is io.EOF, within a message
// io.ErrUnexpectedEOF, and over the bound TooLargeError.
func Read(from io.Reader, maxBytes int, into any) error {
	_, err := ReadWith(from, nil, maxBytes, into)
	return err
}

// ReadWith is Read through a buffer, and gives the buffer back, which may have grown. Nothing that was read refers to the
// buffer, as CBOR copies what it decodes.
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
	if int64(cap(buffer)) < size {
		buffer = make([]byte, size)
	}
	body := buffer[:size]
	if _, err := io.ReadFull(from, body); err != nil {
		return buffer, err
	}
	return buffer, cbor.Unmarshal(body, into)
}
