package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// half closes the side on which a caller speaks: it has said its last, and still listens.
func (c *caller) half() {
	c.Helper()
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		c.Fatal(err)
	}
}

// resets ends a caller's connection the hard way.
func (c *caller) resets() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// rest reads until the controller has ended the connection in good order; a reset is an error.
func (c *caller) rest() (texts []string, err error) {
	raw, err := io.ReadAll(c.in)
	for len(raw) >= headSize {
		size := int(uint32(raw[0])<<24 | uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3]))
		if len(raw) < headSize+size {
			return texts, fmt.Errorf("%d bytes of a frame of %d", len(raw)-headSize, size)
		}
		texts, raw = append(texts, string(raw[headSize:headSize+size])), raw[headSize+size:]
	}
	return texts, err
}

const isAlive = `{"msg":"alive"}`

func helloOf(node int) string { return strings.Replace(hello, "3", fmt.Sprint(node), 1) }

func TestCloses(t *testing.T) {
	t.Run("who asks and closes its side at once is answered, though not before readiness", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, "null", func(l *limits) { l.identifyWithin = patience })
		asks := calls(t, address)
		asks.says(probe)
		asks.half()
		silent := calls(t, address)
		silent.half()
		said.waits(t, "event=stranger_ended", 1) // the one that asked nothing: the other's end has been seen as well, or will be
		d.answers <- two
		if texts, err := asks.rest(); err != nil || len(texts) != 1 || texts[0] != isAlive {
			t.Errorf("answered %q, error %v", texts, err)
		}
	})
	t.Run("an answer that waits for readiness holds nothing longer than a stranger may stay", func(t *testing.T) {
		address, _ := serves(t, discovers(t).address, "null", func(l *limits) { l.identifyWithin = 50 * time.Millisecond })
		asks := calls(t, address)
		asks.says(probe)
		asks.half()
		if texts, err := asks.rest(); err != nil || len(texts) != 0 {
			t.Errorf("answered %q, error %v", texts, err)
		}
	})
	t.Run("a collector's last report before its close is taken in", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, nil)
		c := calls(t, address)
		c.Write(bytes.Join([][]byte{framed(agent), framed(strings.Replace(reports, "s-0", "s-last", 1)), framed(probe)}, nil))
		c.half()
		if texts, err := c.rest(); err != nil || len(texts) != 1 || texts[0] != isAlive {
			t.Errorf("answered %q, error %v", texts, err)
		}
		said.waits(t, "event=report_unlisted id=s-last", 1)
	})
	t.Run("a proxy's last mark and demand before its close are taken in, then it has left", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, nil)
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		if err := h.apply(p.gets()); err != nil || len(h.tickets) != 1 {
			t.Fatalf("error %v, marks %v", err, h.tickets)
		}
		ack := fmt.Sprintf(`{"msg":"ack","node":3,"nonce":%d}`, h.tickets[0])
		p.Write(bytes.Join([][]byte{framed(ack), framed(ack), framed(probe)}, nil)) // the second is one too many
		p.half()
		texts, err := p.rest()
		if err != nil || len(texts) == 0 || texts[len(texts)-1] != isAlive {
			t.Errorf("got %q, error %v", texts, err)
		}
		said.waits(t, "event=mark_unknown node=3", 1)
		said.waits(t, "event=left node=3 why=EOF", 1)
	})
	t.Run("a refusal reaches its reader though bytes wait unread, and its end is no reset", func(t *testing.T) {
		address, _ := serves(t, discovers(t).address, two, nil)
		for what, first := range map[string][]byte{"no object": framed("[]"), "a report": framed(reports),
			"no such proxy": framed(helloOf(99)), "no length": {0, 0, 0, 0}, "too long": {0xff, 0, 0, 0}} {
			c := calls(t, address)
			if _, err := c.Write(append(first, bytes.Repeat([]byte("unread "), 10000)...)); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			texts, err := c.rest()
			if err != nil || len(texts) != 1 || !strings.HasPrefix(texts[0], `{"msg":"error","reason":"`) ||
				fastjson.Validate(texts[0]) != nil {
				t.Errorf("%s: got %q, error %v", what, texts, err)
			}
		}
	})
	t.Run("one who is refused and goes on without end is let go all the same", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, nil)
		c := calls(t, address)
		c.Write(framed("[]"))
		for {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				break
			}
		}
		said.waits(t, "event=stranger_ended", 1)
	})
	t.Run("half a message and then the end: it has left, and nothing of it was taken in", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, func(l *limits) { l.logRepeat = 0 })
		text := strings.Replace(usage, `"node":3`, `"node":9`, 1) // whole, it would be skipped, and the log say so
		for node, cut := range []int{1, 3, 4, 5, 20, 40, len(text) + headSize - 1} {
			p := calls(t, address)
			p.says(helloOf(node))
			p.gets()
			p.Write(framed(text)[:cut])
			if node%2 == 0 {
				p.resets()
			} else {
				p.Close()
			}
			said.waits(t, fmt.Sprintf("event=left node=%d", node), 1)
		}
		if text, _ := said.read(); strings.Contains(text, "event=skipped") {
			t.Errorf("half a message was taken for one: %s", text)
		}
	})
	t.Run("a stream's end and its successor's hello may come in either order", func(t *testing.T) {
		d := discovers(t)
		var five []string
		for b := range 5 {
			five = append(five, backendIs(b, "up"))
		}
		address, said := serves(t, d.address, listing(1, true, five...), nil)
		for version, endsFirst := range []bool{false, true, false} {
			old, p, h := calls(t, address), calls(t, address), newHearer("read it", "write")
			old.says(hello)
			old.gets()
			if endsFirst {
				old.Close()
				said.waits(t, "event=left node=3", 1)
			}
			p.says(hello)
			if err := h.apply(p.gets()); err != nil || len(h.picks(0)) != 5-version {
				t.Fatalf("ends first %v: error %v, picks %v", endsFirst, err, h.picks(0))
			}
			if old.Close(); !endsFirst {
				if _, err := old.in.ReadByte(); err == nil {
					t.Error("the old stream goes on")
				}
			}
			d.answers <- listing(2+version, false, backendIs(version, "draining")) // the order reaches the successor
			for len(h.picks(0)) > 4-version {
				if err := h.apply(p.gets()); err != nil {
					t.Fatal(err)
				}
			}
			p.Close()
			said.waits(t, "event=ended", 1)
		}
	})
	t.Run("a stream that is to make room in the instant in which it says who it is stays", func(t *testing.T) {
		m, _ := begin(t)
		m.limits.finalRead = patience
		here, there := net.Pipe()
		defer there.Close()
		p := newPeer(here, 1, m, func(*peer) error { return nil })
		p.evict()
		ended := make(chan error, 1)
		go func() { ended <- p.read() }()
		there.Write(framed(hello))
		there.Write(framed(usage)) // it is read on: the deadline of a stranger binds no more
		there.Close()
		if err := <-ended; err != io.EOF || p.kind != proxy {
			t.Errorf("ended by %v as a %v", err, p.kind)
		}
	})
	t.Run("a message that met a deadline while we stood still goes on where it was", func(t *testing.T) {
		m, _ := begin(t)
		m.limits.write, m.limits.finalRead = time.Nanosecond, patience // the deadline has passed before the first byte
		here, there := net.Pipe()
		p := newPeer(here, 1, m, func(*peer) error { return nil })
		ended := make(chan error, 1)
		message := bytes.Repeat([]byte("order "), 1000)
		go func() { ended <- p.deliver(message) }()
		got := make([]byte, len(message))
		if _, err := io.ReadFull(there, got); err != nil || !bytes.Equal(got, message) {
			t.Errorf("error %v", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("the stream was judged for our pause: %v", err)
		}
	})
}

func TestLateAndMany(t *testing.T) {
	t.Run("who comes between listen and readiness is served once the list is there", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, "null", nil)
		p, q, h := calls(t, address), calls(t, address), newHearer("read it", "write")
		p.says(hello)
		p.says(probe)
		q.says(probe)
		said.waits(t, "event=joined node=3", 1)
		d.answers <- two
		q.gets()
		if got := string(p.gets()[headSize:]); got != isAlive {
			t.Errorf("first it got %q", got)
		}
		if err := h.apply(p.gets()); err != nil || len(h.picks(0)) != 2 || len(h.picks(1)) != 2 {
			t.Errorf("error %v, picks %v", err, h.lines)
		}
	})
	t.Run("a flood of silent strangers makes room as fast as it comes", func(t *testing.T) {
		// One after the other would take 200 times the last look, which is all the patience there is.
		address, _ := serves(t, discovers(t).address, two, func(l *limits) {
			l.unidentified, l.identifyWithin, l.evictAfter, l.finalRead = 40, patience, time.Millisecond, patience/200
		})
		for range 200 {
			calls(t, address)
		}
		var proxies []*caller
		for node := range 40 {
			p := calls(t, address)
			p.says(helloOf(node))
			proxies = append(proxies, p)
		}
		for _, p := range proxies {
			p.gets()
		}
	})
	t.Run("lying, slow and one-byte clients end within their time, and keep no proxy out", func(t *testing.T) {
		address, _ := serves(t, discovers(t).address, two, func(l *limits) { l.identifyWithin, l.unidentified = 300*time.Millisecond, 60 })
		var odd []*caller
		for i := range 120 {
			c := calls(t, address)
			switch i % 4 {
			case 0:
				c.Write(framed(hello)[:1])
			case 1:
				c.Write([]byte{0, 0, 64, 0}) // the most that a stranger may announce, and nothing of it
			case 2:
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			}
			odd = append(odd, c)
		}
		for node := range 40 {
			p := calls(t, address)
			p.says(helloOf(node))
			p.gets()
		}
		for _, c := range odd {
			if !c.refused() {
				t.Error("one of them stayed")
			}
		}
	})
	t.Run("connections in the instant of the end are closed, whether they were accepted or not", func(t *testing.T) {
		for range 10 {
			c, err := New(Place{}, configuration(discovers(t).address, two), Journal(io.Discard))
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			said := newDiary()
			c.log.to = Journal(said)
			ended := make(chan error, 1)
			go func() { ended <- c.Serve(ctx) }()
			said.waits(t, "event=serving", 1)
			text, _ := said.read()
			address := regexp.MustCompile(`event=serving .* listen=(\S+)`).FindStringSubmatch(text)[1]
			var all sync.WaitGroup
			for i := range 40 {
				all.Go(func() {
					if i == 20 {
						stop()
					}
					conn, err := net.DialTimeout("tcp", address, patience)
					if err != nil {
						return // refused: it goes elsewhere
					}
					defer conn.Close()
					conn.Write(framed(helloOf(i)))
					conn.SetReadDeadline(time.Now().Add(patience))
					if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
						t.Error("one was left open")
					}
				})
			}
			all.Wait()
			if err := <-ended; err != nil {
				t.Errorf("ended with %v", err)
			}
		}
	})
}

func TestShutdown(t *testing.T) {
	t.Run("before it listens it does not begin", func(t *testing.T) {
		c, err := New(Place{}, configuration("127.0.0.1:9", two), Journal(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if err := c.Serve(ctx); err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("a discovery that takes no connection holds nothing up", func(t *testing.T) {
		serves(t, deaf(t), two, func(l *limits) { l.dial = patience }) // and ends with the story
	})
	t.Run("a peer that reads nothing holds nothing up, and no order leaves that was not counted", func(t *testing.T) {
		m, _ := begin(t)
		ctx, stop := context.WithCancel(t.Context())
		here, there := net.Pipe()
		short := &shortOf{Listener: &net.TCPListener{}, conns: []net.Conn{here}, done: ctx.Done()}
		ended, ran := make(chan error, 1), make(chan struct{})
		s := &server{limits: m.limits, module: m, log: m.log}
		go func() { defer close(ran); m.run(ctx) }()
		go func() { ended <- s.run(ctx, short) }()
		there.Write(framed(hello))
		first := make([]byte, 1) // the order is being written, and goes no further
		there.Read(first)
		stop()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
		<-ran
		if more, _ := io.ReadAll(there); len(more) > 0 {
			t.Errorf("%d more bytes came", len(more))
		}
		if len(s.unidentified)+len(s.identified) > 0 {
			t.Errorf("%d strangers, %d known in the end", len(s.unidentified), len(s.identified))
		}
	})
	t.Run("no goroutine is left", func(t *testing.T) {
		if left := ours(); left != "" {
			t.Fatalf("one of an earlier story is left:\n%s", left)
		}
		t.Run("of one with proxies, collectors, strangers and a reload under way", func(t *testing.T) {
			d, next := discovers(t), discovers(t)
			d.answers <- "silence"
			c, address, _ := runs(t, d.address, two, func(l *limits) { l.watchOver = patience })
			for node := range 5 {
				p := calls(t, address)
				p.says(helloOf(node))
				p.gets()
				calls(t, address).says(agent)
				calls(t, address)
			}
			if ours() == "" {
				t.Error("its goroutines cannot be told from others")
			}
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		})
		if left := ours(); left != "" { // Serve has returned
			t.Errorf("left:\n%s", left)
		}
	})
}

// ours gives the goroutines that a controller has started, by their stacks.
func ours() (left string) {
	stacks := make([]byte, 1<<20)
	for _, one := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		for _, actor := range []string{"(*peer).run(", "(*peer).write(", "(*module).run(", "(*list).run(", "(*server).run("} {
			if strings.Contains(one, "wheelrill/controller."+actor) {
				left += one + "\n\n"
				break
			}
		}
	}
	return left
}

// deaf is an address on which connections are neither taken nor refused.
func deaf(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for { // until its backlog is full
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}

func TestReadiness(t *testing.T) {
	const atOnce, answered, waited = "the list is known", "discovery has answered", "nothing is known, and discovery keeps silent"
	for _, story := range []struct {
		what, known string
		answers     []string
		refuses     bool
		why         string
		picks       int // backends in the table that a proxy gets
	}{
		{"discovery answers, known is there", two, []string{listing(2, true, backendIs(0, "up"))}, false, atOnce, -1},
		{"discovery is silent, known is there", two, []string{"silence"}, false, atOnce, 2},
		{"discovery refuses, known is there", two, nil, true, atOnce, 2},
		{"discovery answers an older version, known is there", listing(9, true, backendIs(0, "up")), []string{two}, false, atOnce, 1},
		{"discovery answers, known is missing", "null", []string{two}, false, atOnce, 2},
		{"discovery answers, known is unusable", `{"version":3}`, []string{two}, false, atOnce, 2},
		{"discovery answers, known is no object", `7`, []string{two}, false, atOnce, 2},
		{"discovery answers an empty list", "null", []string{listing(4, true)}, false, answered, 0},
		{"discovery answers an empty list, known is empty", listing(0, true), []string{listing(4, true)}, false, answered, 0},
		{"discovery is silent, known is missing", "null", []string{"silence"}, false, waited, 0},
		{"discovery refuses, known is missing", "null", nil, true, waited, 0},
		{"discovery answers changes to nothing", "null", slices.Repeat([]string{listing(3, false, backendIs(0, "up"))}, 16), false, waited, 0},
		{"discovery is cut in mid-body, then answers", "null", []string{"half" + two, two}, false, atOnce, 2},
		{"discovery is reset, then fails, then answers", "null", []string{"reset", "status 500", "{", two}, false, atOnce, 2},
	} {
		t.Run(story.what, func(t *testing.T) {
			d := discovers(t)
			for _, text := range story.answers {
				d.answers <- text
			}
			address := d.address
			if story.refuses {
				address = refusing(t)
			}
			at, said := serves(t, address, story.known, func(l *limits) {
				if l.patience = patience; story.why == waited {
					l.patience = 300 * time.Millisecond
				}
			})
			c, p, h := calls(t, at), calls(t, at), newHearer("read it", "write")
			c.says(probe) // it waits since before readiness
			if got := string(c.gets()[headSize:]); got != isAlive {
				t.Errorf("answered %q", got)
			}
			said.waits(t, "event=ready", 1)
			if text, _ := said.read(); !strings.Contains(text, fmt.Sprintf("why=%q", story.why)) {
				t.Errorf("ready for another reason: %s", text)
			}
			p.says(hello)
			if story.picks == 0 { // nothing is ordered, and it is served
				p.says(probe)
				if got := string(p.gets()[headSize:]); got != isAlive {
					t.Errorf("got %q", got)
				}
				return
			}
			if err := h.apply(p.gets()); err != nil || story.picks > 0 && len(h.picks(0)) != story.picks {
				t.Errorf("error %v, picks %v", err, h.picks(0))
			}
		})
	}
	t.Run("the list that comes after readiness is ordered to who has joined meanwhile", func(t *testing.T) {
		d := discovers(t)
		address, said := serves(t, d.address, "null", func(l *limits) { l.patience = time.Millisecond })
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		said.waits(t, "event=joined", 1)
		d.answers <- two
		if err := h.apply(p.gets()); err != nil || len(h.picks(0)) != 2 || len(h.picks(1)) != 2 {
			t.Errorf("error %v, picks %v", err, h.lines)
		}
	})
}

// refusing is an address at which nobody listens.
func refusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// handed is a connection that gives a whole text, and in that instant has something else happen.
type handed struct {
	net.Conn
	text string
	then func()
}

func (h *handed) Read(b []byte) (int, error) {
	if h.text == "" {
		return 0, io.EOF
	}
	n := copy(b, h.text)
	if h.text = h.text[n:]; h.text == "" {
		h.then()
	}
	return n, nil
}
func (h *handed) Write(b []byte) (int, error)      { return len(b), nil }
func (h *handed) Close() error                     { return nil }
func (h *handed) SetDeadline(time.Time) error      { return nil }
func (h *handed) SetReadDeadline(time.Time) error  { return nil }
func (h *handed) SetWriteDeadline(time.Time) error { return nil }
func (h *handed) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (h *handed) LocalAddr() net.Addr              { return &net.TCPAddr{} }

func TestQuietList(t *testing.T) {
	// follows has a proxy joined that hears what the list says.
	follows := func(t *testing.T, d *discovery, known string) (*caller, *hearer, *diary) {
		address, said := serves(t, d.address, known, func(l *limits) { l.retryLeast, l.retryMost, l.logRepeat = 1, 1, 0 })
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		if err := h.apply(p.gets()); err != nil {
			t.Fatal(err)
		}
		return p, h, said
	}
	until := func(t *testing.T, p *caller, h *hearer, picks ...string) {
		t.Helper()
		for !slices.Equal(h.picks(0), picks) || !slices.Equal(h.picks(1), picks) {
			if err := h.apply(p.gets()); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Run("an answer of the former address does not overrule the newer one", func(t *testing.T) {
		taken := 0
		l := newList("127.0.0.1:1", usualLimits(), newJournal(slog.New(slog.DiscardHandler), time.Second, 9),
			func(bool, int64, []*fastjson.Value) { taken++ }, func() { taken++ })
		body := listing(50, true, backendIs(0, "up"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		l.client.Dial = func(string) (net.Conn, error) {
			return &handed{text: answer, then: func() { l.follow("127.0.0.1:2", nil) }}, nil
		}
		if err := l.watch(); !errors.Is(err, errMoved) || taken != 0 || l.hasVersion {
			t.Errorf("error %v, taken %d times, version %d", err, taken, l.version)
		}
	})
	t.Run("a drain told in the very answer that dies is told by the next", func(t *testing.T) {
		d := discovers(t)
		p, h, _ := follows(t, d, two)
		drain := listing(2, false, backendIs(0, "draining"))
		d.answers <- "half" + drain[:len(drain)-9]
		d.answers <- "reset"
		d.answers <- drain
		until(t, p, h, "s-1")
	})
	t.Run("a version told twice, one skipped, and one that goes back", func(t *testing.T) {
		d := discovers(t)
		var five []string
		for b := range 5 {
			five = append(five, backendIs(b, "up"))
		}
		p, h, said := follows(t, d, listing(1, true, five...))
		d.answers <- listing(2, false, backendIs(0, "draining"))
		d.answers <- listing(2, false, backendIs(0, "draining"))
		until(t, p, h, "s-1", "s-2", "s-3", "s-4")
		d.answers <- listing(7, false, backendIs(1, "removed"))
		until(t, p, h, "s-2", "s-3", "s-4")
		d.answers <- listing(5, false, backendIs(0, "up"), backendIs(1, "up"))
		said.waits(t, "version 5 is older than 7", 1)
		d.answers <- listing(8, false, backendIs(2, "draining"))
		until(t, p, h, "s-3", "s-4")
	})
	t.Run("changes are not taken for the whole list that was asked for", func(t *testing.T) {
		d := discovers(t)
		for range 5 {
			d.answers <- "status 500"
		}
		d.answers <- listing(9, false, backendIs(7, "up")) // what came before it is not known
		d.answers <- listing(9, true, backendIs(1, "up"), backendIs(7, "up"))
		p, h, said := follows(t, d, two)
		until(t, p, h, "s-1", "s-7")
		said.waits(t, "changes, where all was asked for", 1)
	})
	t.Run("one that ends each watch at once is not asked without a breath", func(t *testing.T) {
		d, began := discovers(t), time.Now()
		const calls, breath = 10, 20 * time.Millisecond
		for range calls {
			d.answers <- listing(1, false)
		}
		serves(t, d.address, two, func(l *limits) { l.watch, l.retryLeast = patience, breath })
		for range calls {
			<-d.asked
		}
		if spent := time.Since(began); spent < (calls-1)*breath/2 {
			t.Errorf("%d calls within %v", calls, spent)
		}
	})
}

// spoilt are messages that are none, or cannot be read one way only.
var spoilt = []string{`[]`, `7`, `"hello"`, `null`, `true`, ``, `{`, `{"msg":}`, `{"msg":"demand"`, "\xff\xfe", `{}`,
	`{"msg":"hello","node":3,"node":4,"locality":"b","w":1,"cold":true}`,
	`{"msg":"demand","node":3,"route":"write","total":9,"total":900,"errors":0,"interval":1000}`,
	`{"msg":"outcomes","locality":"a","endpoint":"s-0","total":9,"errors":1,"rtt":41,"interval":1000,"metrics":{"util":0.1,"util":9}}`,
	`{"msg":"demand","node":3,"route":"write","total":1e300,"errors":0,"interval":1000}`,
	`{"msg":"demand","node":-3,"route":"write","total":9,"errors":0,"interval":1000}`,
	`{"msg":"demand","node":3,"route":"write","total":9,"errors":0,"interval":-1e300}`,
	`{"msg":"ack","node":3,"nonce":99999999999999999999}`,
	`{"msg":"outcomes","locality":"a","endpoint":"` + strings.Repeat("x", 5000) + `","total":9,"errors":1,"rtt":41,"interval":1000}`}

func TestSpoilt(t *testing.T) {
	t.Run("a message is taken whole or not at all, whoever sends it", func(t *testing.T) {
		for _, text := range spoilt {
			for _, first := range []string{hello, agent} {
				m, said := begin(t)
				m.log.repeatEvery = 0
				raw := append(append(framed(first), framed(text)...), framed(usage)...)
				p := newPeer(&told{Reader: bytes.NewReader(raw)}, 1, m, func(*peer) error { return nil })
				err := p.read()
				m.turn(func() {})
				came, log := len(m.mail), said.text.String()
				switch object := fastjson.Validate(text) == nil && strings.HasPrefix(text, "{"); {
				case !object && (!errors.Is(err, errUnreadable) || came != 0):
					t.Errorf("%.60s: the stream went on: %v", text, err)
				case object && err != io.EOF:
					t.Errorf("%.60s: the stream ended: %v", text, err)
				case object && !strings.Contains(log, "event=skipped") && !strings.Contains(log, "event=report_unlisted"):
					t.Errorf("%.60s: taken", text)
				}
			}
		}
	})
	t.Run("a message of a hundred thousand keys costs no more than its length", func(t *testing.T) {
		text, began := []byte(`{"msg":"probe"`), time.Now()
		for i := range 100_000 {
			text = fmt.Appendf(text, `,"%x":0`, i)
		}
		address, _ := serves(t, discovers(t).address, two, nil)
		p := calls(t, address)
		p.says(hello)
		p.gets()
		p.says(string(append(text, '}')))
		if got := string(p.gets()[headSize:]); got != isAlive || time.Since(began) > patience/4 {
			t.Errorf("got %q after %v", got, time.Since(began))
		}
	})
	t.Run("nobody joins by a hello that names two", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, nil)
		c := calls(t, address)
		c.says(`{"msg":"hello","node":3,"node":4,"locality":"b","w":1,"cold":true}`)
		if texts, err := c.rest(); err != nil || len(texts) != 1 || !strings.Contains(texts[0], errRefused.Error()) {
			t.Errorf("got %q, error %v", texts, err)
		}
		if text, _ := said.read(); strings.Contains(text, "event=joined") {
			t.Error("it has joined")
		}
	})
	t.Run("lengths of nothing, of the limit and of one more", func(t *testing.T) {
		address, said := serves(t, discovers(t).address, two, func(l *limits) { l.frame = 4 << 10; l.firstFrame = 1 << 10; l.logRepeat = 0 })
		padded := func(text string, size int) []byte { return framed(text + strings.Repeat(" ", size-len(text))) }
		for node, x := range []struct {
			first, then []byte
			stays       bool
		}{
			{padded(helloOf(0), 1<<10), padded(probe, 4<<10), true},
			{padded(helloOf(1), 1<<10), padded(probe, 4<<10+1), false},
			{padded(helloOf(2), 1<<10), []byte{0, 0, 0, 0}, false},
			{padded(helloOf(3), 1<<10+1), nil, false},
			{[]byte{0, 0, 0, 0}, nil, false},
		} {
			p := calls(t, address)
			p.Write(x.first)
			if x.then != nil {
				p.gets()
				p.Write(x.then)
			}
			if !x.stays {
				p.rest()
				if x.then != nil {
					said.waits(t, fmt.Sprintf("event=left node=%d", node), 1)
				}
			} else if got := string(p.gets()[headSize:]); got != isAlive {
				t.Errorf("node %d got %q", node, got)
			}
		}
		if text, _ := said.read(); strings.Contains(text, "event=joined node=3") {
			t.Error("one byte more than a stranger may send was taken")
		}
	})
}
