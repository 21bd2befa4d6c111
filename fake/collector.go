package fake

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// collector reports outcomes to one controller. The outcomes are those that the proxies of one zone
// observe while their streams go to that controller.
type collector struct {
	fleet      *Fleet
	zone       string
	controller int

	mutex    sync.Mutex
	outcomes map[string]*outcomeCounts // outcomes since the last report, by backend ID
}

type outcomeCounts struct {
	attempts   int
	failed     int
	latencySum time.Duration // sum of the latencies of the successful attempts
}

func newCollector(fleet *Fleet, zone string, controller int) *collector {
	return &collector{fleet: fleet, zone: zone, controller: controller, outcomes: map[string]*outcomeCounts{}}
}

// countOutcome counts the outcome of an attempt.
func (c *collector) countOutcome(backend string, outcome Outcome, latency time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.outcomes[backend]
	if counts == nil {
		counts = &outcomeCounts{}
		c.outcomes[backend] = counts
	}
	counts.attempts++
	if outcome == OutcomeSucceeded {
		counts.latencySum += latency
	} else {
		counts.failed++
	}
}

// run sends the counted outcomes to the controller at each report interval until the context ends.
// It keeps one connection and dials again after an error. Outcomes of an interval that ends without
// a connection are lost.
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
		if err := writeWithTimeout(conn, reports, dialTimeout); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// dial opens a connection and sends the message that identifies the collector. It returns nil if
// that fails.
func (c *collector) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.fleet.links[c.controller].Address(), dialTimeout)
	if err != nil {
		return nil
	}
	if err := writeWithTimeout(conn, frame(agent{Msg: msgAgent, Zone: c.zone}), dialTimeout); err != nil {
		conn.Close()
		return nil
	}
	return conn
}

// takeReports returns the framed reports of the outcomes counted since the last call, and resets
// the counts.
func (c *collector) takeReports() []byte {
	c.mutex.Lock()
	outcomes := c.outcomes
	c.outcomes = map[string]*outcomeCounts{}
	c.mutex.Unlock()
	var out []byte
	for _, id := range slices.Sorted(maps.Keys(outcomes)) {
		counts := outcomes[id]
		report := outcomeReport{Msg: msgOutcomes, Zone: c.zone, Backend: id, Total: counts.attempts, Errors: counts.failed,
			Interval: truncatedMilliseconds(c.fleet.reportInterval)}
		if succeeded := counts.attempts - counts.failed; succeeded > 0 {
			report.Latency = float64(counts.latencySum.Microseconds()) / 1000 / float64(succeeded)
		}
		out = append(out, frame(report)...)
	}
	return out
}

// truncatedMilliseconds returns a duration in milliseconds, without the fraction.
func truncatedMilliseconds(d time.Duration) float64 { return float64(d.Milliseconds()) }
