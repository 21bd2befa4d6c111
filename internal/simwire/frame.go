// Package simwire speaks the simulator's wire: frames, start settings, and the door through which ids
// become small indices and the wire's words become ours. It decides nothing.
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

const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 24
	entrySize       = 22
)

// Batch is one frame of events. Its bytes stay valid until the next read.
type Batch struct {
	Clock   float64
	Seq     uint32
	records []byte
	tail    []byte
}

// ReadBatch reads one frame. io.EOF means that the input ended between frames.
func ReadBatch(r io.Reader, body *bytes.Buffer) (Batch, error) {
	var head [batchHeaderSize]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header: input ended after %d of %d bytes", n, batchHeaderSize)
	}
	length := binary.LittleEndian.Uint32(head[0:])
	count := binary.LittleEndian.Uint32(head[12:])
	batch := Batch{
		Clock: math.Float64frombits(binary.LittleEndian.Uint64(head[4:])),
		Seq:   binary.LittleEndian.Uint32(head[16:]),
	}
	if math.IsNaN(batch.Clock) || math.IsInf(batch.Clock, 0) {
		return Batch{}, fmt.Errorf("frame %d: the clock is not a number", batch.Seq)
	}
	if uint64(count)*eventSize > uint64(length) {
		return Batch{}, fmt.Errorf("frame %d: %d records do not fit in %d bytes", batch.Seq, count, length)
	}
	body.Reset()
	// The buffer grows with what arrives, so that a wrong length costs no memory.
	if n, err := io.CopyN(body, r, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, fmt.Errorf("frame %d: input ended after %d of %d bytes", batch.Seq, n, length)
		}
		return Batch{}, fmt.Errorf("frame %d: %w", batch.Seq, err)
	}
	all := body.Bytes()
	batch.records, batch.tail = all[:count*eventSize], all[count*eventSize:]
	return batch, nil
}

// Events gives the batch's records in order.
func (b Batch) Events() int { return len(b.records) / eventSize }

func (b Batch) event(i int) record {
	return record{b.records[i*eventSize : (i+1)*eventSize], b.tail}
}

// record is one event; fields are read by their byte position.
type record struct{ raw, tail []byte }

func (r record) code() byte        { return r.raw[0] }
func (r record) u8(at int) byte    { return r.raw[at] }
func (r record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r.raw[at:]) }
func (r record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r.raw[at:]) }
func (r record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r.raw[at:]) }
func (r record) f32(at int) float64 {
	return settings.Sanitize(float64(math.Float32frombits(binary.LittleEndian.Uint32(r.raw[at:]))))
}
func (r record) f64(at int) float64 {
	return settings.Sanitize(math.Float64frombits(binary.LittleEndian.Uint64(r.raw[at:])))
}

// tailOf gives the part of the tail that the field at this position names, unit bytes for each counted thing.
func (r record) tailOf(at, unit int) ([]byte, error) {
	from, size := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(unit)
	if from+size > uint64(len(r.tail)) {
		return nil, fmt.Errorf("event code %d: bytes %d to %d lie outside a tail of %d bytes",
			r.code(), from, from+size, len(r.tail))
	}
	return r.tail[from : from+size], nil
}

func millis(us int64) float64 { return float64(us) / 1000 }

// Reply collects the actions of one batch.
type Reply struct {
	seq     uint32
	records []byte
	tail    []byte
}

// Reset starts the reply to the batch with this number.
func (p *Reply) Reset(seq uint32) {
	p.seq, p.records, p.tail = seq, p.records[:0], p.tail[:0]
}

// act adds an action and gives its bytes, zero but for code and instance.
func (p *Reply) act(code byte, instance uint16) []byte {
	from := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	rec := p.records[from:]
	rec[0] = code
	binary.LittleEndian.PutUint16(rec[1:], instance)
	return rec
}

func (p *Reply) text(code byte, instance uint16, line string) {
	rec := p.act(code, instance)
	binary.LittleEndian.PutUint32(rec[3:], uint32(len(p.tail)))
	binary.LittleEndian.PutUint32(rec[7:], uint32(len(line)))
	p.tail = append(p.tail, line...)
}

// WriteTo writes the reply's frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(p.records)/actionSize))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(p.records)+len(p.tail)))
	binary.LittleEndian.PutUint32(head[8:], p.seq)
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
