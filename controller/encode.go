package controller

import (
	"errors"
	"math"
	"strconv"
)

var errTooLong = errors.New("more parts than one message may have")

// order is one message to a proxy as it is written: frames one after the other, each but the last with "more".
type order struct {
	classes [][]byte // names of the classes, as JSON
	limit   int      // bytes of a part
	most    int      // parts
	token   uint64   // of whoever owns the proxy, for one that asked for it; 0 for none

	raw      []byte
	from     int // where the open part begins
	parts    int
	mask     uint16 // classes that the open part means
	levelled bool   // the open part has a level
}

const partTail = len(`],"more":true}`)

// part opens a part for some classes, if the open one is not for the same.
func (o *order) part(mask uint16) {
	if o.parts > 0 && o.mask == mask {
		return
	}
	o.next(mask)
}

func (o *order) next(mask uint16) {
	if o.parts > 0 {
		o.raw = append(o.raw, `,"more":true}`...)
		closeFrame(o.raw, o.from)
	}
	o.parts++
	o.mask, o.levelled, o.from = mask, false, len(o.raw)
	o.raw = append(o.raw, 0, 0, 0, 0)
	o.raw = append(o.raw, `{"msg":"push"`...)
	if o.token > 0 {
		o.raw = strconv.AppendUint(append(o.raw, `,"token":`...), o.token, 10)
	}
	if mask == 0 || mask == 1<<len(o.classes)-1 {
		return // all
	}
	o.raw = append(o.raw, `,"classes":`...)
	sep := byte('[')
	for i, name := range o.classes {
		if mask&(1<<i) != 0 {
			o.raw = append(append(o.raw, sep), name...)
			sep = ','
		}
	}
	o.raw = append(o.raw, ']')
}

// list writes an array of items; where the part would become too long, the array goes on in a further one.
func (o *order) list(key string, items [][]byte) {
	open := func() { o.raw = append(append(append(o.raw, `,"`...), key...), `":[`...) }
	open()
	for i, item := range items {
		if len(o.raw)-o.from+len(item)+1+partTail > o.limit+headSize {
			o.raw = append(o.raw, ']')
			o.next(o.mask)
			open()
		} else if i > 0 {
			o.raw = append(o.raw, ',')
		}
		o.raw = append(o.raw, item...)
	}
	o.raw = append(o.raw, ']')
}

func (o *order) whole(mask uint16, lines [][]byte) {
	o.part(mask)
	o.raw = append(o.raw, `,"whole":true`...)
	o.list("lines", lines)
}

func (o *order) change(mask uint16, lines [][]byte) {
	o.part(mask)
	o.list("lines", lines)
}

func (o *order) level(mask uint16, l level) {
	if o.part(mask); o.levelled {
		o.next(mask)
	}
	o.room(64)
	o.raw = appendFigure(append(o.raw, `,"level":`...), l.allowance)
	o.raw = strconv.AppendInt(append(o.raw, `,"retry":`...), int64(l.tries), 10)
	o.levelled = true
}

// backends writes those that are to be shut out, or let back.
func (o *order) backends(key string, names [][]byte) {
	if len(names) == 0 {
		return
	}
	if o.parts == 0 {
		o.next(0)
	}
	o.room(64)
	o.list(key, names)
}

func (o *order) ticket(number int) {
	if o.parts == 0 {
		o.next(0)
	}
	o.room(64)
	o.raw = strconv.AppendInt(append(o.raw, `,"ticket":`...), int64(number), 10)
}

// room opens a further part when a few more bytes would not go into this one.
func (o *order) room(bytes int) {
	if len(o.raw)-o.from+bytes+partTail > o.limit+headSize {
		o.next(o.mask)
	}
}

// end closes the last part and gives the message.
func (o *order) end() ([]byte, error) {
	if o.parts > o.most {
		return nil, errTooLong
	}
	o.raw = append(o.raw, '}')
	closeFrame(o.raw, o.from)
	return o.raw, nil
}

// line encodes a backend with its weight.
func line(name []byte, weight float64) []byte {
	b := append(append(make([]byte, 0, len(name)+16), '['), name...)
	return append(appendFigure(append(b, ','), weight), ']')
}

// appendFigure writes a figure that every reader can use: never negative, without end, or no number.
func appendFigure(b []byte, x float64) []byte {
	return strconv.AppendFloat(b, figure(x), 'g', -1, 64)
}

func figure(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return min(x, math.MaxFloat32)
}
