package intake

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

func acquire(t *testing.T, memory *Memory, bytes int64, revoke func()) *Lease {
	t.Helper()
	lease, err := memory.Acquire(bytes, nil, revoke)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestStalledMessagesGiveWay guards against peers that stop within a message and thereby keep all
// others from being read.
func TestStalledMessagesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(100)
		var revoked atomic.Int32
		var stalled []*Lease
		for range 10 {
			var lease *Lease
			lease = acquire(t, memory, 10, func() { revoked.Add(1); lease.Release() })
			stalled = append(stalled, lease)
		}
		began := time.Now()
		last := acquire(t, memory, 25, func() { t.Error("a message that progresses was given up") })
		if waited := time.Since(began); revoked.Load() != 3 || waited > 2*stallTime {
			t.Errorf("%d of 10 messages given up after %v, want 3 within %v", revoked.Load(), waited, 2*stallTime)
		}
		if !stalled[0].Revoked() || stalled[9].Revoked() {
			t.Error("want the messages without progress for the longest time to be given up")
		}
		if last.Complete(); last.Revoked() {
			t.Error("a complete message was given up")
		}
	})
}

func TestDrippingMessageGivesWay(t *testing.T) {
	// Guards against a peer that keeps memory for ever by a byte now and then.
	synctest.Test(t, func(t *testing.T) {
		memory, ended := NewMemory(10), make(chan struct{})
		var dripping *Lease
		dripping = acquire(t, memory, 10, func() { close(ended); dripping.Release() })
		go func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(stallTime / 2):
					dripping.Progress()
				}
			}
		}()
		began := time.Now()
		acquire(t, memory, 10, nil).Release()
		if waited := time.Since(began); waited < maxReadTime || waited > 2*maxReadTime {
			t.Errorf("the next message waited %v, want %v or a little more", waited, maxReadTime)
		}
	})
}

func TestCompleteMessagesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(10)
		complete := acquire(t, memory, 10, func() { t.Error("a complete message was given up") })
		complete.Complete()
		done := make(chan struct{})
		time.AfterFunc(5*maxReadTime, func() { close(done) })
		if _, err := memory.Acquire(1, done, nil); !errors.Is(err, ErrStopped) {
			t.Errorf("got error %v, want %v", err, ErrStopped)
		}
		complete.Release()
		complete.Release()
		acquire(t, memory, 10, nil)
		if _, err := memory.Acquire(11, nil, nil); !errors.Is(err, ErrTooLarge) {
			t.Errorf("got error %v for more than all memory, want %v", err, ErrTooLarge)
		}
	})
}

func TestReadBodyGrowsAsBytesArrive(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100_000)
	for name, from := range map[string]io.Reader{"at once": bytes.NewReader(body), "byte by byte": iotest.OneByteReader(bytes.NewReader(body)),
		"with the end": iotest.DataErrReader(bytes.NewReader(body))} {
		reads := 0
		if got, err := ReadBody(from, nil, len(body), func() { reads++ }); err != nil || !bytes.Equal(got, body) || reads == 0 {
			t.Errorf("%s: got %d bytes in %d reads, error %v, want all %d", name, len(got), reads, err, len(body))
		}
	}
	got, err := ReadBody(bytes.NewReader(body[:20_000]), nil, 1<<20, nil)
	if !errors.Is(err, io.EOF) || cap(got) > 64<<10 {
		t.Errorf("error %v and a buffer of %d bytes for 20,000 of 1 MiB, want %v and 64 KiB at most", err, cap(got), io.EOF)
	}
	if got, err = ReadBody(bytes.NewReader(body), got, 5, nil); err != nil || string(got) != "xxxxx" {
		t.Errorf("got %q, error %v, want the first five bytes", got, err)
	}
}
