package controller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
)

// lengthSize is how many bytes of length stand before each message, most significant byte first.
const lengthSize = 4

// readFrame reads one message of at most maxSize bytes into a buffer. io.EOF means that the stream ended between messages. The
// buffer grows with what arrives, so that a length that is only claimed costs no memory.
func readFrame(in io.Reader, body *bytes.Buffer, maxSize int) error {
	var length [lengthSize]byte
	if n, err := io.ReadFull(in, length[:]); err != nil {
		if n > 0 {
			return fmt.Errorf("cut off after %d bytes of a length: %w", n, err)
		}
		return err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size == 0 || size > int64(maxSize) {
		return fmt.Errorf("a message of %d bytes, %d at most: %w", size, maxSize, errUnreadable)
	}
	body.Reset()
	if n, err := io.CopyN(body, in, size); err != nil {
		return fmt.Errorf("cut off after %d of %d bytes: %w", n, size, err)
	}
	return nil
}

// appendMessageStart begins a message: room for its length, an opening brace, and its kind.
func appendMessageStart(to []byte, kind string) []byte {
	to = append(to, make([]byte, lengthSize)...)
	to = append(to, `{"`+keyMessage+`":"`...)
	to = append(to, kind...)
	return append(to, '"')
}

// putFrameLength writes the length of the message that begins at start, once it is complete.
func putFrameLength(raw []byte, start int) {
	binary.BigEndian.PutUint32(raw[start:], uint32(len(raw)-start-lengthSize))
}

// errorMessage is the last message to a connection that is refused.
func errorMessage(reason error) []byte {
	raw := appendMessageStart(nil, messageError)
	raw = append(raw, `,"`+keyReason+`":`...)
	raw = strconv.AppendQuoteToASCII(raw, reasonOf(reason))
	raw = append(raw, '}')
	putFrameLength(raw, 0)
	return raw
}

// aliveMessage is the answer to a probe.
var aliveMessage = func() []byte {
	raw := append(appendMessageStart(nil, messageAlive), '}')
	putFrameLength(raw, 0)
	return raw
}()
