package balancer

// proxyState holds the state of one proxy.
type proxyState struct {
	connected      bool
	connectedAt    Microseconds
	disconnectedAt Microseconds // 0 if the proxy has never disconnected, or is connected again
	zone, subset   int
	baselineRate   float64   // requests per second that reach the proxy on ordinary days, at least 1
	demand         []float64 // requests per second that reach the proxy now, by class

	// tablesAssigned is set once this controller has assigned its tables to the proxy. With sharding
	// it is always set: such a proxy has no tables, and reads owners from the store of shards.
	tablesAssigned bool

	// Withdrawals that the proxy may hold, see sync.go.
	mayHoldForeignWithdrawals bool    // withdrawals of other controllers
	withdrawalsSynced         bool    // withdrawals of this controller were sent before its tables
	withdrawalsCleared        bool    // each backend's first entry lifts its withdrawal, which costs one more line
	heldWithdrawals           float64 // number sent by this controller before its tables; costs the same line each

	acknowledged     int64          // the proxy has received all push batches up to this number
	messageTimes     []Microseconds // times of messages to the proxy, within the message window
	peerMessageTimes []Microseconds // times of other controllers' messages, used when the proxy connects

	// peersReportedMessages is set if other controllers reported, before the proxy connected, how
	// many messages they have sent to it, even if that number was 0; see messagesForRequired.
	peersReportedMessages bool
}

// firstEntryLiftsWithdrawal reports whether the proxy may avoid a backend until the backend's first
// entry, which then costs one more line.
func (p *proxyState) firstEntryLiftsWithdrawal() bool {
	return p.withdrawalsCleared || p.heldWithdrawals > 0
}

// connectedCount returns the number of connected proxies.
func (c *Controller) connectedCount() float64 {
	connected := 0
	for _, proxy := range c.proxies {
		if proxy.connected {
			connected++
		}
	}
	return float64(connected)
}

// baselineDemand returns the requests per second that reach the proxies of this controller on
// ordinary days.
func (c *Controller) baselineDemand() RequestsPerSecond {
	total := 0.
	for _, proxy := range c.proxies {
		total += proxy.baselineRate
	}
	return total
}
