package controller

import (
	"encoding/binary"
	"strconv"
)

// lengthSize is the size in bytes of the length prefix of a frame, which is big-endian.
const lengthSize = 4

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
