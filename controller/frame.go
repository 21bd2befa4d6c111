package controller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
)

// lengthSize is the length that stands before each message, most significant byte first.
const lengthSize = 4

// readFrame reads one message into a buffer. io.EOF means that the stream ended between messages. The buffer grows
// with what arrives, so that a length that is only claimed costs no memory.
func readFrame(r io.Reader, body *bytes.Buffer, most int) error {
	var head [lengthSize]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n > 0 {
			return fmt.Errorf("cut off after %d bytes of a length: %w", n, err)
		}
		return err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size == 0 || size > int64(most) {
		return fmt.Errorf("a message of %d bytes, %d at most: %w", size, most, errUnreadable)
	}
	body.Reset()
	if n, err := io.CopyN(body, r, size); err != nil {
		return fmt.Errorf("cut off after %d of %d bytes: %w", n, size, err)
	}
	return nil
}

// putFrameLength writes the length of the message that begins at from, where its head was left open.
func putFrameLength(b []byte, from int) {
	binary.BigEndian.PutUint32(b[from:], uint32(len(b)-from-lengthSize))
}

// errorMessage is the last word to one that has not joined.
func errorMessage(why error) []byte {
	b := strconv.AppendQuoteToASCII(append(make([]byte, lengthSize), `{"msg":"error","reason":`...), reasonOf(why))
	b = append(b, '}')
	putFrameLength(b, 0)
	return b
}

// aliveMessage is the answer to a probe.
var aliveMessage = func() []byte {
	b := append(make([]byte, lengthSize), `{"msg":"alive"}`...)
	putFrameLength(b, 0)
	return b
}()
