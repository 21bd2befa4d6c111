package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

type message struct {
	Name string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

func TestFramesAreReadInOrderThroughOneBuffer(t *testing.T) {
	var stream bytes.Buffer
	sent := []message{{"a", []byte{1, 2, 3}}, {"b", bytes.Repeat([]byte{7}, 5000)}, {"c", nil}}
	for _, m := range sent {
		if err := Write(&stream, m); err != nil {
			t.Fatal(err)
		}
	}
	var got [3]message
	var buffer []byte
	for i := range got {
		var err error
		if buffer, err = ReadWith(&stream, buffer, 8192, &got[i]); err != nil {
			t.Fatal(err)
		}
	}
	for i, m := range sent { // reading a message into the same buffer must not change earlier decoded messages
		if got[i].Name != m.Name || !bytes.Equal(got[i].Body, m.Body) {
			t.Errorf("message %d was read as %+v, want %+v", i, got[i], m)
		}
	}
	if err := Read(&stream, 8192, &got[0]); !errors.Is(err, io.EOF) {
		t.Errorf("the error at the end of the stream is %v, want io.EOF", err)
	}
}

func TestFramesThatAreTooLargeOrCutOffAreRefused(t *testing.T) {
	var stream bytes.Buffer
	if err := Append(&stream, message{Name: "a", Body: make([]byte, 100)}); err != nil {
		t.Fatal(err)
	}
	framed := stream.Bytes()
	var m message
	if err := Read(bytes.NewReader(framed), 50, &m); !errors.As(err, &TooLargeError{}) {
		t.Errorf("the error for a message over 50 bytes is %v, want TooLargeError", err)
	}
	if err := Read(bytes.NewReader(framed[:50]), 500, &m); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the error for a truncated message is %v, want io.ErrUnexpectedEOF", err)
	}
	if err := Read(bytes.NewReader([]byte{0, 0, 0, 1, 0xff}), 500, &m); err == nil {
		t.Error("a body of invalid CBOR is accepted")
	}
	if err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}), 500, &m); !errors.As(err, &TooLargeError{}) {
		t.Errorf("the error for a header of 0xffffffff bytes is %v, want TooLargeError", err)
	}
}

func TestAppendThatFailsLeavesTheBufferAsItWas(t *testing.T) {
	var stream bytes.Buffer
	if err := Write(&stream, message{Name: "a"}); err != nil {
		t.Fatal(err)
	}
	before := stream.Len()
	if err := Append(&stream, make(chan int)); err == nil || stream.Len() != before {
		t.Errorf("Append of a message that cannot be encoded added %d bytes, error %v; want 0 bytes and an error",
			stream.Len()-before, err)
	}
}
