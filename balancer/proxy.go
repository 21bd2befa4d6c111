package balancer

// proxyState is all that is known of one proxy.
type proxyState struct {
	connected      bool
	connectedAt    Microseconds
	disconnectedAt Microseconds // 0 if it never was, or is connected again
	zone, subset   int
	baselineRate   float64   // requests a second that come to it on ordinary days, 1 at least
	demand         []float64 // requests a second that come to it now, by class

	hasOurTables bool // its tables are ours; always with shards, where it has no tables and reads owners from the store

	// Withdrawals of other controllers that it may hold, see sync.go.
	mayHoldForeignWithdrawals bool
	withdrawalsSynced         bool    // it was notified of ours before it had our tables
	withdrawalsCleared        bool    // it uses a backend again with that backend's first entry, which costs a line more
	heldWithdrawals           float64 // how many of ours it holds since then: the same

	acknowledged          int64          // push batches up to this number have come through
	messageTimes          []Microseconds // when messages went to it, within the window that counts
	peerMessageTimes      []Microseconds // when those of other controllers did, for when it connects
	peersReportedMessages bool           // peers told of theirs before it connected (even of none), see messagesForRequired
}

// mayKeepOff tells whether the proxy may keep off a backend until its first entry, which costs it a line more.
func (p *proxyState) mayKeepOff() bool { return p.withdrawalsCleared || p.heldWithdrawals > 0 }

// connectedCount is how many proxies are connected.
func (c *Controller) connectedCount() float64 {
	connected := 0
	for _, proxy := range c.proxies {
		if proxy.connected {
			connected++
		}
	}
	return float64(connected)
}

// baselineDemand is what comes to our proxies on ordinary days, in requests a second.
func (c *Controller) baselineDemand() RequestsPerSecond {
	total := 0.
	for _, proxy := range c.proxies {
		total += proxy.baselineRate
	}
	return total
}
