package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"wheelrill/internal/settings"
)

// Sizes of the parts of frames and replies, in bytes.
const (
	frameHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 24
	endpointSize    = 22
)

// Frame is a batch of events that the simulator sends at one clock time. Its bytes are valid until
// the next read into the same buffer.
type Frame struct {
	Clock   float64 // simulated time in milliseconds
	Number  uint32  // the frame's number, which its reply repeats
	records []byte  // events, each of eventSize bytes
	tail    []byte  // texts and lists that the events refer to
}

// ReadFrame reads one frame into a buffer that the caller reuses. It returns io.EOF if the input
// ends between two frames, and another error if the input ends within a frame or the frame is
// invalid.
func ReadFrame(r io.Reader, body *bytes.Buffer) (Frame, error) {
	var head [frameHeaderSize]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		return Frame{}, fmt.Errorf("frame header: input ended after %d of %d bytes", n, frameHeaderSize)
	}
	length := binary.LittleEndian.Uint32(head[frameLengthAt:])
	count := binary.LittleEndian.Uint32(head[frameCountAt:])
	frame := Frame{
		Clock:  math.Float64frombits(binary.LittleEndian.Uint64(head[frameClockAt:])),
		Number: binary.LittleEndian.Uint32(head[frameNumberAt:]),
	}
	if math.IsNaN(frame.Clock) || math.IsInf(frame.Clock, 0) {
		return Frame{}, fmt.Errorf("frame %d: the clock is not a number", frame.Number)
	}
	if uint64(count)*eventSize > uint64(length) {
		return Frame{}, fmt.Errorf("frame %d: %d records do not fit in %d bytes", frame.Number, count, length)
	}
	body.Reset()
	// The buffer grows only as bytes arrive, so that a wrong length does not allocate memory.
	if n, err := io.CopyN(body, r, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, fmt.Errorf("frame %d: input ended after %d of %d bytes", frame.Number, n, length)
		}
		return Frame{}, fmt.Errorf("frame %d: %w", frame.Number, err)
	}
	all := body.Bytes()
	frame.records = all[:count*eventSize]
	frame.tail = all[count*eventSize:]
	return frame, nil
}

// EventCount returns the number of events in the frame.
func (f Frame) EventCount() int { return len(f.records) / eventSize }

func (f Frame) event(i int) record {
	return record{f.records[i*eventSize : (i+1)*eventSize], f.tail}
}

// record is one event, or one entry of an endpoint list. Its fields are read by byte position, see
// layout.go.
type record struct {
	raw  []byte
	tail []byte // tail of the frame; nil if the record is an entry of an endpoint list
}

func (r record) code() eventCode   { return eventCode(r.raw[codeAt]) }
func (r record) u8(at int) byte    { return r.raw[at] }
func (r record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r.raw[at:]) }
func (r record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r.raw[at:]) }
func (r record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r.raw[at:]) }

// f32 reads a float32. It returns 0 for a value that is negative, infinite or not a number.
func (r record) f32(at int) float64 {
	return settings.Sanitize(float64(math.Float32frombits(r.u32(at))))
}

// f64 reads a float64. It returns 0 for a value that is negative, infinite or not a number.
func (r record) f64(at int) float64 {
	return settings.Sanitize(math.Float64frombits(r.u64(at)))
}

// microseconds reads a time in milliseconds and returns it in microseconds.
func (r record) microseconds(at int) int64 { return settings.FromMilliseconds(r.f64(at)) }

// tailOf returns the part of the frame's tail that the text or list field at this position refers
// to. The size in the field is a number of items, each of itemSize bytes.
func (r record) tailOf(at, itemSize int) ([]byte, error) {
	from := uint64(r.u32(at))
	size := uint64(r.u32(at+textSizeAt)) * uint64(itemSize)
	if from+size > uint64(len(r.tail)) {
		return nil, fmt.Errorf("event code %d: bytes %d to %d lie outside a tail of %d bytes",
			r.code(), from, from+size, len(r.tail))
	}
	return r.tail[from : from+size], nil
}

// Reply is the list of actions in answer to one frame.
type Reply struct {
	number  uint32 // number of the frame that the reply answers
	records []byte // actions, each of actionSize bytes
	tail    []byte // texts that the actions refer to
}

// Reset removes all actions and sets the number of the frame to answer.
func (p *Reply) Reset(number uint32) {
	p.number = number
	p.records = p.records[:0]
	p.tail = p.tail[:0]
}

// add appends an action and returns its bytes; all fields except code and instance are zero.
func (p *Reply) add(code actionCode, instance uint16) action {
	from := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	a := action(p.records[from:])
	a[codeAt] = byte(code)
	a.putU16(instanceAt, instance)
	return a
}

// addText appends an action whose only field is a text in the reply's tail.
func (p *Reply) addText(code actionCode, instance uint16, text string) {
	a := p.add(code, instance)
	a.putU32(textAt, uint32(len(p.tail)))
	a.putU32(textAt+textSizeAt, uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// WriteTo writes the reply and returns the number of bytes written.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(head[replyCountAt:], uint32(len(p.records)/actionSize))
	binary.LittleEndian.PutUint32(head[replyLengthAt:], uint32(len(p.records)+len(p.tail)))
	binary.LittleEndian.PutUint32(head[replyNumberAt:], p.number)
	total := int64(0)
	for _, part := range [][]byte{head[:], p.records, p.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// action holds the bytes of one action. Its fields are written by byte position, see layout.go.
type action []byte

func (a action) putU16(at int, x uint16)  { binary.LittleEndian.PutUint16(a[at:], x) }
func (a action) putU32(at int, x uint32)  { binary.LittleEndian.PutUint32(a[at:], x) }
func (a action) putU64(at int, x uint64)  { binary.LittleEndian.PutUint64(a[at:], x) }
func (a action) putF32(at int, x float64) { a.putU32(at, math.Float32bits(float32(x))) }
func (a action) putF64(at int, x float64) { a.putU64(at, math.Float64bits(x)) }

func (a action) putBool(at int, x bool) {
	if x {
		a[at] = 1
	}
}
