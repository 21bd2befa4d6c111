package controller

import (
	"fmt"
	"math"
	"strconv"
)

// messageWriter encodes one message to a proxy as a sequence of parts. Each part is a frame and
// applies to one set of classes. All parts except the last have keyMore. The open part is the part
// that is being written.
type messageWriter struct {
	classNames [][]byte // names of the classes as JSON strings, by class index
	maxFrame   int      // maximum number of bytes of a part, excluding its length prefix
	maxParts   int
	token      uint64 // fencing token of the proxy's owner; 0 if the proxy asked for no tokens

	raw         []byte
	partStart   int    // offset in raw at which the open part begins
	parts       int    // number of parts of the message so far, including the open part
	partClasses uint16 // bit set of the classes that the open part applies to; 0 if the part names no classes
	hasLimit    bool   // whether the open part already has an admission limit
}

// partTail is the maximum number of bytes between the last item of an array and the end of its
// part.
const partTail = len(`],"` + keyMore + `":true}`)

// maxFieldBytes is an upper bound for the encoded size, in bytes, of a field that is not an array.
const maxFieldBytes = 64

// openPart begins another part of the message for a set of classes, unless the open part applies to
// the same set.
func (w *messageWriter) openPart(classes uint16) {
	if w.parts == 0 || w.partClasses != classes {
		w.nextPart(classes)
	}
}

// openAnyPart begins a part of the message that names no classes, if no part is open.
func (w *messageWriter) openAnyPart() {
	if w.parts == 0 {
		w.nextPart(0)
	}
}

// nextPart closes the open part of the message, and begins another part for a set of classes.
func (w *messageWriter) nextPart(classes uint16) {
	if w.parts > 0 {
		w.raw = append(w.raw, `,"`+keyMore+`":true}`...)
		putFrameLength(w.raw, w.partStart)
	}
	w.parts++
	w.partClasses, w.hasLimit, w.partStart = classes, false, len(w.raw)
	w.raw = appendMessageStart(w.raw, messagePush)
	if w.token > 0 {
		w.openField(keyToken)
		w.raw = strconv.AppendUint(w.raw, w.token, 10)
	}
	all := uint16(1<<len(w.classNames) - 1)
	if classes != 0 && classes != all {
		w.writeClasses(classes)
	}
}

// openField writes the key of a field of the open part.
func (w *messageWriter) openField(key string) {
	w.raw = append(w.raw, `,"`...)
	w.raw = append(w.raw, key...)
	w.raw = append(w.raw, `":`...)
}

// writeClasses writes the names of the classes that the open part applies to.
func (w *messageWriter) writeClasses(classes uint16) {
	w.openField(keyClasses)
	separator := byte('[')
	for class, name := range w.classNames {
		if classes&(1<<class) != 0 {
			w.raw = append(w.raw, separator)
			w.raw = append(w.raw, name...)
			separator = ','
		}
	}
	w.raw = append(w.raw, ']')
}

// writeArray writes a field that is an array of items. When the part would exceed maxFrame, the
// array continues in another part.
func (w *messageWriter) writeArray(key string, items [][]byte) {
	w.openField(key)
	w.raw = append(w.raw, '[')
	for i, item := range items {
		if !w.hasRoomFor(len(item) + 1) {
			w.raw = append(w.raw, ']')
			w.nextPart(w.partClasses)
			w.openField(key)
			w.raw = append(w.raw, '[')
		} else if i > 0 {
			w.raw = append(w.raw, ',')
		}
		w.raw = append(w.raw, item...)
	}
	w.raw = append(w.raw, ']')
}

// hasRoomFor reports whether size more bytes and the end of the part fit into the open part.
func (w *messageWriter) hasRoomFor(size int) bool {
	return len(w.raw)-w.partStart+size+partTail <= w.maxFrame+lengthSize
}

// ensureRoom begins another part of the message if a field of maxFieldBytes would not fit into the
// open part.
func (w *messageWriter) ensureRoom() {
	if !w.hasRoomFor(maxFieldBytes) {
		w.nextPart(w.partClasses)
	}
}

// writeFullTable writes a complete table, which replaces the table of each of the classes.
func (w *messageWriter) writeFullTable(classes uint16, entries [][]byte) {
	w.openPart(classes)
	w.openField(keyFull)
	w.raw = append(w.raw, "true"...)
	w.writeArray(keyEntries, entries)
}

// writeTableChange writes the changed entries of a table that the classes use.
func (w *messageWriter) writeTableChange(classes uint16, entries [][]byte) {
	w.openPart(classes)
	w.writeArray(keyEntries, entries)
}

// writeLimit writes the admission limit of a set of classes. A part holds at most one limit.
func (w *messageWriter) writeLimit(classes uint16, limit admissionLimit) {
	w.openPart(classes)
	if w.hasLimit {
		w.nextPart(classes)
	}
	w.ensureRoom()
	w.openField(keyLimit)
	w.raw = appendNumber(w.raw, limit.limit)
	w.openField(keyRetry)
	w.raw = strconv.AppendInt(w.raw, int64(limit.retry), 10)
	w.hasLimit = true
}

// writeBackends writes the names of withdrawn (keyWithdraw) or restored (keyRestore) backends.
func (w *messageWriter) writeBackends(key string, names [][]byte) {
	if len(names) == 0 {
		return
	}
	w.openAnyPart()
	w.ensureRoom()
	w.writeArray(key, names)
}

// writeAckRequest writes a request to acknowledge the message with a nonce.
func (w *messageWriter) writeAckRequest(nonce int) {
	w.openAnyPart()
	w.ensureRoom()
	w.openField(keyAck)
	w.raw = strconv.AppendInt(w.raw, int64(nonce), 10)
}

// finish closes the last part and returns the message, or errTooManyParts if the message has more
// than maxParts parts.
func (w *messageWriter) finish() ([]byte, error) {
	w.openAnyPart()
	if w.parts > w.maxParts {
		return nil, fmt.Errorf("%w: %d parts, at most %d", errTooManyParts, w.parts, w.maxParts)
	}
	w.raw = append(w.raw, '}')
	putFrameLength(w.raw, w.partStart)
	return w.raw, nil
}

// encodeEntry encodes a table entry: a backend's name, given as a JSON string, and its weight.
func encodeEntry(name []byte, weight float64) []byte {
	entry := make([]byte, 0, len(name)+16)
	entry = append(entry, '[')
	entry = append(entry, name...)
	entry = append(entry, ',')
	entry = appendNumber(entry, weight)
	return append(entry, ']')
}

// appendNumber appends a number, replaced or bounded by sanitizeNumber.
func appendNumber(to []byte, number float64) []byte {
	return strconv.AppendFloat(to, sanitizeNumber(number), 'g', -1, 64)
}

// sanitizeNumber replaces a negative number or NaN by 0, and bounds a number by math.MaxFloat32, so
// that every JSON reader accepts the result.
func sanitizeNumber(number float64) float64 {
	if math.IsNaN(number) || number < 0 {
		return 0
	}
	return min(number, math.MaxFloat32)
}
