package controller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
)

// lengthSize is the size in bytes of the length prefix of a frame, which is big-endian.
const lengthSize = 4

// readFrame reads one message of at most maxSize bytes into a buffer. It returns io.EOF if the
// stream ends between messages. The buffer grows only as bytes arrive, so a peer cannot make it
// allocate memory by announcing a large length.
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

// appendMessageStart appends the start of a message: space for its length, an opening brace, and
// its kind.
func appendMessageStart(to []byte, kind string) []byte {
	to = append(to, make([]byte, lengthSize)...)
	to = append(to, `{"`+keyMessage+`":"`...)
	to = append(to, kind...)
	return append(to, '"')
}

// putFrameLength writes the length prefix of the complete message that begins at start.
func putFrameLength(raw []byte, start int) {
	binary.BigEndian.PutUint32(raw[start:], uint32(len(raw)-start-lengthSize))
}

// errorMessage returns the last message to a refused connection, which holds the reason.
func errorMessage(reason error) []byte {
	raw := appendMessageStart(nil, messageError)
	raw = append(raw, `,"`+keyReason+`":`...)
	raw = strconv.AppendQuoteToASCII(raw, reasonOf(reason))
	raw = append(raw, '}')
	putFrameLength(raw, 0)
	return raw
}

// aliveMessage is the encoded answer to a probe.
var aliveMessage = func() []byte {
	raw := append(appendMessageStart(nil, messageAlive), '}')
	putFrameLength(raw, 0)
	return raw
}()
