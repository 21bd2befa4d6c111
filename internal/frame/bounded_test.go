package frame

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wheelrill/internal/intake"
)

func TestCountItems(t *testing.T) {
	for _, test := range []struct {
		value any
		want  int
	}{
		{7, 1}, {-70_000, 1}, {"text", 1}, {[]byte{1, 2, 3}, 1}, {[]int{1, 2, 300}, 4}, {map[string]int{"a": 1, "b": 2}, 5},
		{1.5, 1}, {true, 1}, {nil, 1}, {make([][]int, 100), 101}, {bytes.Repeat([]byte{0x80}, 300), 1},
	} {
		body, err := cbor.Marshal(test.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := countItems(body); got != test.want {
			t.Errorf("%v: %d items, want %d", test.value, got, test.want)
		}
	}
	for _, cut := range []string{"\x19\x01", "\x64ab", "\x1b", "\xff\xff"} {
		countItems([]byte(cut)) // it must end
	}
}

// TestBoundsOfSeveralConnections guards against callers that together make the process hold more
// memory than is set aside for them.
func TestBoundsOfSeveralConnections(t *testing.T) {
	const total = 1 << 20
	bounds := NewBounds(intake.NewMemory(total))
	read := func(from net.Conn, into any) error {
		_, err := bounds.Read(from, from, nil, 4<<20, into)
		return err
	}
	t.Run("a message that stops half way gives way to another", func(t *testing.T) {
		stalled, peer := net.Pipe()
		defer peer.Close()
		ended := make(chan error, 1)
		go func() { ended <- read(stalled, new([]byte)) }()
		var whole bytes.Buffer
		if err := Write(&whole, make([]byte, 400_000)); err != nil {
			t.Fatal(err)
		}
		peer.Write(whole.Bytes()[:200_000])
		sound, other := net.Pipe()
		defer other.Close()
		go other.Write(whole.Bytes())
		var got []byte
		if err := read(sound, &got); err != nil || len(got) != 400_000 {
			t.Errorf("got %d bytes, error %v, want all 400,000", len(got), err)
		}
		select {
		case err := <-ended:
			if !errors.Is(err, ErrStalled) {
				t.Errorf("the stalled message ended with %v, want %v", err, ErrStalled)
			}
		case <-time.After(10 * time.Second):
			t.Error("the stalled message was not given up")
		}
	})
	for name, message := range map[string]any{"too many bytes": make([]byte, total), "too many items": make([]int, total/memoryPerItem+1)} {
		t.Run(name, func(t *testing.T) {
			conn, peer := net.Pipe()
			defer conn.Close()
			go func() { _ = Write(peer, message) }()
			if err := read(conn, new(any)); !errors.Is(err, intake.ErrTooLarge) {
				t.Errorf("got error %v, want %v", err, intake.ErrTooLarge)
			}
		})
	}
	t.Run("without bounds", func(t *testing.T) {
		var message bytes.Buffer
		if err := Write(&message, "text"); err != nil {
			t.Fatal(err)
		}
		var got string
		if _, err := (*Bounds)(nil).Read(nil, &message, nil, 100, &got); err != nil || got != "text" {
			t.Errorf("got %q, error %v", got, err)
		}
	})
}
