package fake

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Class is one class of requests.
type Class struct {
	Name                       string
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	Writes                     bool    // a second run of the same would be a second effect
	Rate                       float64 // requests a second that come to each relay
}

// push is one part of an order.
type push struct {
	Msg     string
	Token   uint64
	Classes []string
	Whole   bool
	Lines   [][2]any
	Level   *float64
	Retry   int
	Out     []string
	Back    []string
	Ticket  *int
	More    bool
}

// Proxy is a proxy as the protocol has it: one stream to some controller, tables that it follows exactly, requests
// that it sends where they say.
type Proxy struct {
	in     *Fleet
	node   int
	zone   string
	fenced bool // it asks for tokens, and refuses what comes with an older one than it has seen
	random *rand.Rand

	mutex  sync.Mutex
	conn   net.Conn
	at     int // controller of the stream; -1 for none
	cold   bool
	tables []*Table
	levels []level
	shut   map[string]bool
	token  uint64
	came   []int // by class, since demand was last told
	counts Counts
}

// level is how much of a class is let in a second, and how tries are repeated.
type level struct {
	set   bool
	rate  float64
	retry int
	room  float64 // requests that may be let in now
	at    time.Time
}

// Counts sums what relays met.
type Counts struct {
	Came, Served, Late, Lost, Refused int
	AskedValue, ServedValue           float64 // value that came, and that was served in time
	Tries                             int
	IntoHang                          int // tries sent to a worker that hung
	Streams                           int // that were begun
	Orders, Lines                     int
	JoinLines                         int // of them within a second of a stream's beginning
	Refusals                          int // orders that were refused as of an older owner
}

func (c *Counts) add(o Counts) {
	c.Came, c.Served, c.Late, c.Lost, c.Refused = c.Came+o.Came, c.Served+o.Served, c.Late+o.Late, c.Lost+o.Lost, c.Refused+o.Refused
	c.AskedValue, c.ServedValue, c.Tries, c.IntoHang = c.AskedValue+o.AskedValue, c.ServedValue+o.ServedValue, c.Tries+o.Tries, c.IntoHang+o.IntoHang
	c.Streams, c.Orders, c.Lines = c.Streams+o.Streams, c.Orders+o.Orders, c.Lines+o.Lines
	c.JoinLines, c.Refusals = c.JoinLines+o.JoinLines, c.Refusals+o.Refusals
}

const (
	mostFrame   = 1 << 20
	dialWithin  = 300 * time.Millisecond
	probeEvery  = time.Second
	silentAfter = 3 * time.Second        // without a byte the stream is given up
	perLine     = 100 * time.Microsecond // that a relay stalls for each line of an order
	joinSpell   = time.Second
	perMessage  = 4 // lines that a message costs beside its own
)

var errUnusable = errors.New("an order that cannot be used")

func frame(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // our own words
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

type hello struct {
	Msg   string  `json:"msg"`
	Node  int     `json:"node"`
	Zone  string  `json:"locality"`
	W     float64 `json:"w"`
	Cold  bool    `json:"cold"`
	Fence bool    `json:"fence,omitempty"`
}

type ack struct {
	Msg     string  `json:"msg"`
	Node    int     `json:"node"`
	Nonce   int     `json:"nonce"`
	Latency float64 `json:"latency"`
}

type demand struct {
	Msg      string  `json:"msg"`
	Node     int     `json:"node"`
	Route    string  `json:"route"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	Interval float64 `json:"interval"`
}

// run keeps a stream to some controller until the context ends: another one after each break, after a moment.
func (r *Proxy) run(ctx context.Context) {
	order := r.random.Perm(len(r.in.controllers))
	for tried := 0; ctx.Err() == nil; tried++ {
		at := order[tried%len(order)]
		if conn, err := net.DialTimeout("tcp", r.in.controllers[at].Address(), dialWithin); err == nil {
			r.stream(ctx, conn, at)
		}
		wait := time.Duration(20+r.random.IntN(130)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (r *Proxy) stream(ctx context.Context, conn net.Conn, at int) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	w := 0.
	for _, c := range r.in.classes {
		w += c.Rate
	}
	r.mutex.Lock()
	cold := r.cold
	r.mutex.Unlock()
	if _, err := conn.Write(frame(hello{"hello", r.node, r.zone, w, cold, r.fenced})); err != nil {
		return
	}
	// It counts as joined once the controller has shown that it is there.
	in, began, known := bufio.NewReader(conn), time.Now(), false
	if _, err := conn.Write(frame(map[string]string{"msg": "probe"})); err != nil {
		return
	}
	var talk sync.WaitGroup
	talking, hush := context.WithCancel(ctx)
	talk.Go(func() { r.talk(talking, conn) })
	defer talk.Wait()
	defer hush()
	defer conn.Close()
	var parts []push
	size := 0
	for {
		conn.SetReadDeadline(time.Now().Add(silentAfter))
		body, err := readFrame(in)
		if err != nil {
			break
		}
		if !known {
			known = true
			r.begins(conn, at)
		}
		var p push
		if err := json.Unmarshal(body, &p); err != nil || p.Msg != "push" && p.Msg != "alive" {
			break
		}
		if p.Msg == "alive" {
			continue
		}
		parts, size = append(parts, p), size+lines(p)
		if p.More {
			continue
		}
		wait := r.in.channels[at].enter(r.node, size+perMessage) + time.Duration(size)*perLine
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		if err := r.apply(parts, size, at, time.Since(began) < joinSpell); err != nil {
			break
		}
		for _, p := range parts {
			if p.Ticket != nil {
				conn.Write(frame(ack{"ack", r.node, *p.Ticket, 1}))
			}
		}
		parts, size = nil, 0
	}
	if known {
		r.ends()
	}
}

func readFrame(in io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > mostFrame {
		return nil, errUnusable
	}
	body := make([]byte, size)
	_, err := io.ReadFull(in, body)
	return body, err
}

// lines counts what a part costs in the channel.
func lines(p push) int {
	n := len(p.Lines) + len(p.Out) + len(p.Back)
	for _, one := range []bool{p.Whole, p.Level != nil, p.Ticket != nil} {
		if one {
			n++
		}
	}
	return n
}

func (r *Proxy) begins(conn net.Conn, at int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conn, r.at = conn, at
	r.counts.Streams++
	r.joins(true)
}

func (r *Proxy) ends() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conn, r.at = nil, -1
	r.joins(false)
}

// joins notes that the relay can be told something from now on, or cannot. It is locked.
func (r *Proxy) joins(can bool) {
	var lacks []string
	for i, c := range r.in.classes {
		if can && !r.has(i) {
			lacks = append(lacks, c.Name)
		}
	}
	r.in.account.ProxyConnected(r.node, can, lacks, r.in.Clock())
}

func (r *Proxy) has(class int) bool {
	return !r.tables[class].Empty()
}

// apply takes a whole message, or none of it.
func (r *Proxy) apply(parts []push, size, at int, joining bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	token := parts[0].Token
	if r.fenced && token > 0 && token < r.token {
		r.counts.Refusals++
		return nil
	}
	for _, p := range parts {
		for _, name := range p.Classes {
			if !slices.ContainsFunc(r.in.classes, func(c Class) bool { return c.Name == name }) {
				return errUnusable
			}
		}
		for _, l := range p.Lines {
			id, named := l[0].(string)
			weight, figure := l[1].(float64)
			if !named || !figure || weight < 0 || !r.in.knows(id) {
				return errUnusable
			}
		}
	}
	for _, p := range parts {
		for i, c := range r.in.classes {
			if p.Classes != nil && !slices.Contains(p.Classes, c.Name) {
				continue
			}
			if p.Whole {
				r.tables[i], r.levels[i] = NewTable(), level{}
			}
			for _, l := range p.Lines {
				r.tables[i].Set(l[0].(string), l[1].(float64))
			}
			if p.Level != nil {
				r.levels[i] = level{set: true, rate: *p.Level, retry: p.Retry, at: time.Now(), room: 1}
			}
		}
		for _, id := range p.Out {
			r.shut[id] = true
		}
		for _, id := range p.Back {
			delete(r.shut, id)
		}
	}
	for _, table := range r.tables {
		table.Index(r.shut)
	}
	r.token, r.cold = max(r.token, token), false
	r.counts.Orders, r.counts.Lines = r.counts.Orders+1, r.counts.Lines+size
	if joining {
		r.counts.JoinLines += size
	}
	now := r.in.Clock()
	r.in.account.OrderApplied(fmt.Sprint("controller ", at), r.node, token, now)
	for i, c := range r.in.classes {
		r.in.account.TableChanged(r.node, c.Name, r.has(i), now)
	}
	return nil
}

// talk tells demand, and asks for a word now and then.
func (r *Proxy) talk(ctx context.Context, conn net.Conn) {
	every := time.NewTicker(probeEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		r.mutex.Lock()
		came := slices.Clone(r.came)
		clear(r.came)
		r.mutex.Unlock()
		out := frame(map[string]string{"msg": "probe"})
		for i, n := range came {
			out = append(out, frame(demand{"demand", r.node, r.in.classes[i].Name, n, 0, float64(probeEvery.Milliseconds())})...)
		}
		conn.SetWriteDeadline(time.Now().Add(probeEvery))
		if _, err := conn.Write(out); err != nil {
			conn.Close()
			return
		}
	}
}

// arrivals has requests of a class come to the relay until the context ends.
func (r *Proxy) arrivals(ctx context.Context, class int, random *rand.Rand) {
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / r.in.classes[class].Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		r.request(class, fmt.Sprintf("%d/%d/%d", r.node, class, n), random)
	}
}

// request plays one from its coming to its end.
func (r *Proxy) request(class int, key string, random *rand.Rand) {
	c := r.in.classes[class]
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.came[class]++
	r.counts.Came++
	r.counts.AskedValue += c.PriorityWeight
	if !r.levels[class].lets() {
		r.counts.Refused++
		return
	}
	began := time.Now()
	r.try(class, key, began, 0, "", random.Uint64())
}

func (l *level) lets() bool {
	if !l.set {
		return true
	}
	now := time.Now()
	l.room = min(max(1, l.rate), l.room+now.Sub(l.at).Seconds()*l.rate)
	if l.at = now; l.room < 1 {
		return false
	}
	l.room--
	return true
}

// try sends a request to a worker by weight, not to one that it was sent to before. The relay is locked.
func (r *Proxy) try(class int, key string, began time.Time, tried int, before string, drawn uint64) {
	c := r.in.classes[class]
	chosen, found := r.tables[class].Pick(before, drawn)
	if !found {
		r.counts.Lost++
		return
	}
	w, patience := r.in.worker(chosen), time.Until(began.Add(c.Deadline))
	if w == nil || patience <= 0 {
		r.counts.Lost++
		return
	}
	r.in.account.AttemptSent(chosen, r.node, r.in.Clock())
	r.counts.Tries++
	if w.hangs() {
		r.counts.IntoHang++
	}
	stream := r.at
	var once sync.Once
	ends := func(result Outcome, took time.Duration) {
		once.Do(func() {
			r.in.report(r.zone, stream, chosen, result, took)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			again := 1 // after proof that it never ran, where no order says otherwise
			if r.levels[class].set {
				again = r.levels[class].retry
			}
			switch {
			case result == OutcomeSucceeded && time.Since(began) <= c.LatencyObjective:
				r.counts.Served++
				r.counts.ServedValue += c.PriorityWeight
			case result == OutcomeSucceeded:
				r.counts.Late++
			case tried == 0 && (result == OutcomeRejected && again >= 1 || again >= 2 && !c.Writes):
				r.try(class, key, began, tried+1, chosen, NextRandom(drawn))
			default:
				r.counts.Lost++
			}
		})
	}
	timer := time.AfterFunc(patience, func() { ends(OutcomeTimedOut, patience) })
	effect := key
	if !c.Writes {
		effect = fmt.Sprint(key, "#", tried) // what may run twice has no effect of its own
	}
	w.Handle(effect, patience, func(result Outcome, took time.Duration) {
		timer.Stop()
		ends(result, took)
	})
}

func (w *Backend) hangs() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.mode == ModeHang
}
