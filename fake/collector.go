package fake

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// collector forwards to one controller what proxies of one zone met that have their streams there.
type collector struct {
	fleet      *Fleet
	zone       string
	controller int

	mutex    sync.Mutex
	outcomes map[string]*outcomeCounts // by backend, since the last report
}

type outcomeCounts struct {
	attempts int
	failed   int
	took     time.Duration // sum over those that succeeded
}

func newCollector(fleet *Fleet, zone string, controller int) *collector {
	return &collector{fleet: fleet, zone: zone, controller: controller, outcomes: map[string]*outcomeCounts{}}
}

// note counts the outcome of an attempt.
func (c *collector) note(backend string, outcome Outcome, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.outcomes[backend]
	if counts == nil {
		counts = &outcomeCounts{}
		c.outcomes[backend] = counts
	}
	counts.attempts++
	if outcome == OutcomeSucceeded {
		counts.took += took
	} else {
		counts.failed++
	}
}

// run keeps a connection, and forwards at each interval until the context ends. What falls into a break is lost.
func (c *collector) run(ctx context.Context) {
	ticker := time.NewTicker(c.fleet.reportInterval)
	defer ticker.Stop()
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
		case <-ticker.C:
		}
		reports := c.takeReports()
		if conn == nil {
			conn = c.dial()
		}
		if conn == nil {
			continue
		}
		if err := write(conn, reports, dialTimeout); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// dial gives a connection on which the collector has said who it is, or nil.
func (c *collector) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.fleet.links[c.controller].Address(), dialTimeout)
	if err != nil {
		return nil
	}
	if err := write(conn, frame(agent{Msg: msgAgent, Zone: c.zone}), dialTimeout); err != nil {
		conn.Close()
		return nil
	}
	return conn
}

// takeReports gives the reports of what was counted, framed, and begins to count anew.
func (c *collector) takeReports() []byte {
	c.mutex.Lock()
	outcomes := c.outcomes
	c.outcomes = map[string]*outcomeCounts{}
	c.mutex.Unlock()
	var out []byte
	for _, id := range slices.Sorted(maps.Keys(outcomes)) {
		counts := outcomes[id]
		report := outcomeReport{Msg: msgOutcomes, Zone: c.zone, Backend: id, Total: counts.attempts, Errors: counts.failed,
			Interval: wholeMilliseconds(c.fleet.reportInterval)}
		if succeeded := counts.attempts - counts.failed; succeeded > 0 {
			report.Latency = float64(counts.took.Microseconds()) / 1000 / float64(succeeded)
		}
		out = append(out, frame(report)...)
	}
	return out
}

// wholeMilliseconds gives whole ones.
func wholeMilliseconds(d time.Duration) float64 { return float64(d.Milliseconds()) }
