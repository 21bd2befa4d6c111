package fake

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// collector forwards to one controller what the relays of a zone met that have their streams there.
type collector struct {
	in   *Fleet
	zone string
	at   int

	mutex sync.Mutex
	met   map[string]*met
}

type met struct {
	tries, failed int
	took          time.Duration
}

type outcomes struct {
	Msg      string  `json:"msg"`
	Zone     string  `json:"locality"`
	Endpoint string  `json:"endpoint"`
	Total    int     `json:"total"`
	Errors   int     `json:"errors"`
	RTT      float64 `json:"rtt"`
	Interval float64 `json:"interval"`
}

func (c *collector) note(worker string, result Outcome, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.met[worker]
	if m == nil {
		m = &met{}
		c.met[worker] = m
	}
	if m.tries++; result == OutcomeSucceeded {
		m.took += took
	} else {
		m.failed++
	}
}

// run keeps a connection, and forwards each second.
func (c *collector) run(ctx context.Context) {
	every := time.NewTicker(c.in.reports)
	defer every.Stop()
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		c.mutex.Lock()
		seen := c.met
		c.met = map[string]*met{}
		c.mutex.Unlock()
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.in.controllers[c.at].Address(), dialWithin); err != nil {
				conn = nil
				continue
			}
			conn.Write(frame(map[string]string{"msg": "agent", "locality": c.zone}))
		}
		var out []byte
		var ids []string
		for id := range seen {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			m := seen[id]
			o := outcomes{"outcomes", c.zone, id, m.tries, m.failed, 0, float64(c.in.reports.Milliseconds())}
			if answered := m.tries - m.failed; answered > 0 {
				o.RTT = float64(m.took.Microseconds()) / 1000 / float64(answered)
			}
			out = append(out, frame(o)...)
		}
		conn.SetWriteDeadline(time.Now().Add(dialWithin))
		if _, err := conn.Write(out); err != nil {
			conn.Close()
			conn = nil
		}
	}
}
