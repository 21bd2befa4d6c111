// Package frame writes and reads messages on a stream: four bytes of length, the highest first, then CBOR.
package frame

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Header is the number of bytes before a message.
const Header = 4

const usualSize = 256 // of a new buffer

// ErrTooLarge is a message over the bound of whoever writes or reads it.
type ErrTooLarge struct{ Size, Most int }

// Error says both sizes.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("a message of %d bytes, %d at most", e.Size, e.Most)
}

// Append adds a message as it goes onto the stream.
func Append(to *bytes.Buffer, message any) error {
	start := to.Len()
	to.Write(make([]byte, Header))
	if err := cbor.MarshalToBuffer(message, to); err != nil {
		to.Truncate(start)
		return err
	}
	framed := to.Bytes()[start:]
	binary.BigEndian.PutUint32(framed, uint32(len(framed)-Header))
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

// Read reads one message of a bounded size.
func Read(from io.Reader, most int, into any) error {
	_, err := ReadWith(from, nil, most, into)
	return err
}

// ReadWith reads one message through a buffer, and gives the buffer back, which may have grown. Nothing that was read
// refers to the buffer, as CBOR copies what it decodes.
func ReadWith(from io.Reader, buffer []byte, most int, into any) ([]byte, error) {
	if cap(buffer) < Header {
		buffer = make([]byte, usualSize)
	}
	header := buffer[:Header]
	if _, err := io.ReadFull(from, header); err != nil {
		return buffer, err
	}
	size := int64(binary.BigEndian.Uint32(header))
	if size > int64(most) {
		return buffer, ErrTooLarge{int(size), most}
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
