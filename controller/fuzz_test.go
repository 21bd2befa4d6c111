package controller

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// FuzzStream feeds arbitrary bytes to an unidentified connection, to the connection of a proxy and
// to the connection of a collector. It guards against panics and endless reads on malformed input.
func FuzzStream(f *testing.F) {
	f.Add(slices.Concat(frame(hello), frame(demandReport), frame(probe), frame(`{"msg":"ack","node":3,"nonce":1}`)))
	f.Add(slices.Concat(frame(agent), frame(outcomesReport), frame(demandReport), frame("null")))
	f.Add([]byte("\x00\x10\x00\x00{"))
	for _, text := range unusableMessages {
		f.Add(append(frame(text), frame(probe)...))
	}
	for _, size := range []int{0, 16 << 10, 16<<10 + 1, 1 << 20, 1<<20 + 1} {
		f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(size)), hello...))
	}
	for cut := range frame(hello) {
		f.Add(frame(hello)[:cut])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		loop := newFuzzLoop(t)
		for _, before := range []string{"", hello, agent} {
			var prefix []byte
			if before != "" {
				prefix = frame(before)
			}
			conn := newConnection(&readerConn{Reader: bytes.NewReader(append(prefix, raw...))}, 1, loop,
				func(*connection) error { return nil })
			if err := conn.readMessages(); err == nil {
				t.Fatal("readMessages returned no error at the end of the input")
			}
			loop.iterate(func() {})
		}
	})
}

// readerConn is a connection whose input comes from a reader.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c *readerConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

func (c *readerConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *readerConn) SetReadDeadline(time.Time) error { return nil }

func (c *readerConn) Close() error { return nil }

func newFuzzLoop(t *testing.T) *eventLoop {
	c, err := New(Identity{}, configuration("127.0.0.1:9", twoEndpoints), NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	c.loop.iterate(func() {})
	return c.loop
}
