package controller

import (
	"errors"
	"math"
	"strconv"
)

var errTooManyParts = errors.New("more parts than one message may have")

// messageWriter is one message to a proxy as it is written: frames one after the other, each but the last with "more".
type messageWriter struct {
	classNames [][]byte // names of the classes, as JSON
	maxFrame   int      // bytes of a part
	maxParts   int      // parts
	token      uint64   // of whoever owns the proxy, for one that asked for it; 0 for none

	raw         []byte
	partStart   int // where the open part begins
	parts       int
	partClasses uint16 // classes that the open part means
	hasLimit    bool   // the open part has a level
}

const partTail = len(`],"more":true}`)

// openPart opens a part for some classes, if the open one is not for the same.
func (w *messageWriter) openPart(mask uint16) {
	if w.parts > 0 && w.partClasses == mask {
		return
	}
	w.nextPart(mask)
}

func (w *messageWriter) nextPart(mask uint16) {
	if w.parts > 0 {
		w.raw = append(w.raw, `,"more":true}`...)
		putFrameLength(w.raw, w.partStart)
	}
	w.parts++
	w.partClasses, w.hasLimit, w.partStart = mask, false, len(w.raw)
	w.raw = append(w.raw, 0, 0, 0, 0)
	w.raw = append(w.raw, `{"msg":"push"`...)
	if w.token > 0 {
		w.raw = strconv.AppendUint(append(w.raw, `,"token":`...), w.token, 10)
	}
	if mask == 0 || mask == 1<<len(w.classNames)-1 {
		return // all
	}
	w.raw = append(w.raw, `,"classes":`...)
	sep := byte('[')
	for i, name := range w.classNames {
		if mask&(1<<i) != 0 {
			w.raw = append(append(w.raw, sep), name...)
			sep = ','
		}
	}
	w.raw = append(w.raw, ']')
}

// writeArray writes an array of items; where the part would become too long, the array goes on in a further one.
func (w *messageWriter) writeArray(key string, items [][]byte) {
	open := func() { w.raw = append(append(append(w.raw, `,"`...), key...), `":[`...) }
	open()
	for i, item := range items {
		if len(w.raw)-w.partStart+len(item)+1+partTail > w.maxFrame+lengthSize {
			w.raw = append(w.raw, ']')
			w.nextPart(w.partClasses)
			open()
		} else if i > 0 {
			w.raw = append(w.raw, ',')
		}
		w.raw = append(w.raw, item...)
	}
	w.raw = append(w.raw, ']')
}

func (w *messageWriter) writeFullTable(mask uint16, lines [][]byte) {
	w.openPart(mask)
	w.raw = append(w.raw, `,"whole":true`...)
	w.writeArray("lines", lines)
}

func (w *messageWriter) writeTableChange(mask uint16, lines [][]byte) {
	w.openPart(mask)
	w.writeArray("lines", lines)
}

func (w *messageWriter) writeLimit(mask uint16, l admissionLimit) {
	if w.openPart(mask); w.hasLimit {
		w.nextPart(mask)
	}
	w.ensureRoom(64)
	w.raw = appendNumber(append(w.raw, `,"level":`...), l.limit)
	w.raw = strconv.AppendInt(append(w.raw, `,"retry":`...), int64(l.retry), 10)
	w.hasLimit = true
}

// writeBackends writes those that are to be shut out, or let back.
func (w *messageWriter) writeBackends(key string, names [][]byte) {
	if len(names) == 0 {
		return
	}
	if w.parts == 0 {
		w.nextPart(0)
	}
	w.ensureRoom(64)
	w.writeArray(key, names)
}

func (w *messageWriter) writeAckRequest(number int) {
	if w.parts == 0 {
		w.nextPart(0)
	}
	w.ensureRoom(64)
	w.raw = strconv.AppendInt(append(w.raw, `,"ticket":`...), int64(number), 10)
}

// ensureRoom opens a further part when a few more bytes would not go into this one.
func (w *messageWriter) ensureRoom(bytes int) {
	if len(w.raw)-w.partStart+bytes+partTail > w.maxFrame+lengthSize {
		w.nextPart(w.partClasses)
	}
}

// finish closes the last part and gives the message.
func (w *messageWriter) finish() ([]byte, error) {
	if w.parts > w.maxParts {
		return nil, errTooManyParts
	}
	w.raw = append(w.raw, '}')
	putFrameLength(w.raw, w.partStart)
	return w.raw, nil
}

// encodeEntry encodes a backend with its weight.
func encodeEntry(name []byte, weight float64) []byte {
	b := append(append(make([]byte, 0, len(name)+16), '['), name...)
	return append(appendNumber(append(b, ','), weight), ']')
}

// appendNumber writes a figure that every reader can use: never negative, without end, or no number.
func appendNumber(b []byte, x float64) []byte {
	return strconv.AppendFloat(b, sanitizeNumber(x), 'g', -1, 64)
}

func sanitizeNumber(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return min(x, math.MaxFloat32)
}
