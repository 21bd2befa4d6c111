package controller

import (
	"math"
	"strconv"
)

// messageWriter writes one message to a proxy: parts one after the other, each but the last with keyMore. A part is for one set of
// classes.
type messageWriter struct {
	classNames [][]byte // as JSON strings
	maxFrame   int      // bytes of a part, without its length
	maxParts   int
	token      uint64 // of the proxy's owner, for a proxy that asked for it; 0 for none

	raw         []byte
	partStart   int // where the open part begins in raw
	parts       int
	partClasses uint16 // bit set of the classes that the open part is for; 0 for none in particular
	hasLimit    bool   // the open part has a limit
}

// partTail is the longest that can follow an item of an array up to the end of its part.
const partTail = len(`],"` + keyMore + `":true}`)

// maxFieldBytes is more than any of the fields takes that are not arrays.
const maxFieldBytes = 64

// openPart opens a part for a set of classes, if the open one is not for the same.
func (w *messageWriter) openPart(classes uint16) {
	if w.parts == 0 || w.partClasses != classes {
		w.nextPart(classes)
	}
}

// openAnyPart opens a part if none is open.
func (w *messageWriter) openAnyPart() {
	if w.parts == 0 {
		w.nextPart(0)
	}
}

// nextPart closes the open part and begins another for a set of classes.
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

// openField writes the key of a field.
func (w *messageWriter) openField(key string) {
	w.raw = append(w.raw, `,"`...)
	w.raw = append(w.raw, key...)
	w.raw = append(w.raw, `":`...)
}

// writeClasses names the classes that the open part is for.
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

// writeArray writes a field that is an array of items; where the part would become too long, the array goes on in a further one.
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

// hasRoomFor tells whether some more bytes, and the end of the part, go into the open part.
func (w *messageWriter) hasRoomFor(size int) bool {
	return len(w.raw)-w.partStart+size+partTail <= w.maxFrame+lengthSize
}

// ensureRoom opens a further part when a field would not go into this one.
func (w *messageWriter) ensureRoom() {
	if !w.hasRoomFor(maxFieldBytes) {
		w.nextPart(w.partClasses)
	}
}

// writeFullTable writes the complete table of some classes.
func (w *messageWriter) writeFullTable(classes uint16, entries [][]byte) {
	w.openPart(classes)
	w.openField(keyFull)
	w.raw = append(w.raw, "true"...)
	w.writeArray(keyEntries, entries)
}

// writeTableChange writes changed entries of the table of some classes.
func (w *messageWriter) writeTableChange(classes uint16, entries [][]byte) {
	w.openPart(classes)
	w.writeArray(keyEntries, entries)
}

// writeLimit writes the admission limit of some classes; a part has one at most.
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

// writeBackends writes which backends are withdrawn (keyWithdraw), or restored (keyRestore).
func (w *messageWriter) writeBackends(key string, names [][]byte) {
	if len(names) == 0 {
		return
	}
	w.openAnyPart()
	w.ensureRoom()
	w.writeArray(key, names)
}

// writeAckRequest asks for an acknowledgement.
func (w *messageWriter) writeAckRequest(nonce int) {
	w.openAnyPart()
	w.ensureRoom()
	w.openField(keyAck)
	w.raw = strconv.AppendInt(w.raw, int64(nonce), 10)
}

// finish closes the last part and gives the message; errTooManyParts if it is too long for one.
func (w *messageWriter) finish() ([]byte, error) {
	w.openAnyPart()
	if w.parts > w.maxParts {
		return nil, errTooManyParts
	}
	w.raw = append(w.raw, '}')
	putFrameLength(w.raw, w.partStart)
	return w.raw, nil
}

// encodeEntry encodes a table's entry: a backend, by its name as a JSON string, with its weight.
func encodeEntry(name []byte, weight float64) []byte {
	entry := make([]byte, 0, len(name)+16)
	entry = append(entry, '[')
	entry = append(entry, name...)
	entry = append(entry, ',')
	entry = appendNumber(entry, weight)
	return append(entry, ']')
}

// appendNumber writes a number that every reader can use.
func appendNumber(to []byte, number float64) []byte {
	return strconv.AppendFloat(to, sanitizeNumber(number), 'g', -1, 64)
}

// sanitizeNumber makes a number never negative, infinite, or no number.
func sanitizeNumber(number float64) float64 {
	if math.IsNaN(number) || number < 0 {
		return 0
	}
	return min(number, math.MaxFloat32)
}
