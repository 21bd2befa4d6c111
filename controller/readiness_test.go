package controller

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

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
				if l.readyTimeout = patience; story.why == waited {
					l.readyTimeout = 300 * time.Millisecond
				}
			})
			c, p, h := calls(t, at), calls(t, at), newHearer("read it", "write")
			c.says(probe) // it waits since before readiness
			if got := string(c.gets()[lengthSize:]); got != isAlive {
				t.Errorf("answered %q", got)
			}
			said.waits(t, "msg=ready", 1)
			if text, _ := said.read(); !strings.Contains(text, fmt.Sprintf("reason=%q", story.why)) {
				t.Errorf("ready for another reason: %s", text)
			}
			p.says(hello)
			if story.picks == 0 { // nothing is ordered, and it is served
				p.says(probe)
				if got := string(p.gets()[lengthSize:]); got != isAlive {
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
		address, said := serves(t, d.address, "null", func(l *limits) { l.readyTimeout = time.Millisecond })
		p, h := calls(t, address), newHearer("read it", "write")
		p.says(hello)
		said.waits(t, "msg=proxy_connected", 1)
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

func (h *handed) Write(b []byte) (int, error) { return len(b), nil }

func (h *handed) Close() error { return nil }

func (h *handed) SetDeadline(time.Time) error { return nil }

func (h *handed) SetReadDeadline(time.Time) error { return nil }

func (h *handed) SetWriteDeadline(time.Time) error { return nil }

func (h *handed) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (h *handed) LocalAddr() net.Addr { return &net.TCPAddr{} }

func TestQuietList(t *testing.T) {
	// follows has a proxy joined that hears what the list says.
	follows := func(t *testing.T, d *discovery, known string) (*caller, *hearer, *diary) {
		address, said := serves(t, d.address, known, func(l *limits) { l.minBackoff, l.maxBackoff, l.logRepeatInterval = 1, 1, 0 })
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
		l := newEndpointWatcher("127.0.0.1:1", defaultLimits(), slog.New(slog.DiscardHandler),
			func(bool, int64, []*fastjson.Value) { taken++ }, func() { taken++ })
		body := listing(50, true, backendIs(0, "up"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		l.client.Dial = func(string) (net.Conn, error) {
			return &handed{text: answer, then: func() { l.follow("127.0.0.1:2", nil) }}, nil
		}
		if err := l.poll(); !errors.Is(err, errMoved) || taken != 0 || l.hasVersion {
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
		serves(t, d.address, two, func(l *limits) { l.watchWait, l.minBackoff = patience, breath })
		for range calls {
			<-d.asked
		}
		if spent := time.Since(began); spent < (calls-1)*breath/2 {
			t.Errorf("%d calls within %v", calls, spent)
		}
	})
}
