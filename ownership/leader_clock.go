package ownership

// maxLeaderClocks is the number of leaders' clocks that are remembered. Beyond this number, the
// clock whose last stamp was received longest ago is forgotten, as none of its stamps can be
// recent.
const maxLeaderClocks = 64

// leaderClock relates a leader's clock to the local clock: the greatest stamp that was received
// from the leader, and the time at which it was received.
type leaderClock struct {
	stampedAt  Microseconds // greatest stamp that was received, by the leader's clock
	receivedAt Microseconds // time at which the greatest stamp was received, by the local clock
}

// observeStamp records the stamp of an entry or of a move in a snapshot.
func (c *Coordinator) observeStamp(stamp Stamp, now Microseconds) {
	if clock, known := c.leaderClocks[stamp.Leader]; known && clock.stampedAt > stamp.At {
		return
	}
	c.leaderClocks[stamp.Leader] = leaderClock{stampedAt: stamp.At, receivedAt: now}
	if len(c.leaderClocks) <= maxLeaderClocks {
		return
	}
	oldest := stamp.Leader
	for leader, clock := range c.leaderClocks {
		if clock.receivedAt < c.leaderClocks[oldest].receivedAt {
			oldest = leader
		}
	}
	delete(c.leaderClocks, oldest)
}

// stampAge returns a lower bound of the time since a leader gave a stamp. A stamp by an unknown
// leader counts as older than the message window.
func (c *Coordinator) stampAge(stamp Stamp, now Microseconds) Microseconds {
	clock, known := c.leaderClocks[stamp.Leader]
	if !known {
		return c.terms.MessageWindow
	}
	return now - clock.receivedAt + clock.stampedAt - stamp.At
}
