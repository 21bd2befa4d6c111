package ownership

// maxLeaderClocks is how many leaders' clocks are known at a time. Of a forgotten one no recent stamp can be left.
const maxLeaderClocks = 64

// leaderClock relates a leader's clock to ours: the greatest stamp of it that was received, and when.
type leaderClock struct {
	stampedAt  Microseconds // by the leader's clock
	receivedAt Microseconds // by ours
}

// observeStamp notes a stamp of an entry, or of a snapshot.
func (c *Coordinator) observeStamp(stamp Stamp, now Microseconds) {
	if last, known := c.leaderClocks[stamp.Leader]; known && last.stampedAt > stamp.At {
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

// stampAge is how long ago a stamp was given at least. One of an unknown leader counts as older than the window.
func (c *Coordinator) stampAge(stamp Stamp, now Microseconds) Microseconds {
	last, known := c.leaderClocks[stamp.Leader]
	if !known {
		return c.terms.MessageWindow
	}
	return now - last.receivedAt + last.stampedAt - stamp.At
}
