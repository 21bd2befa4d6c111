package balancer

// proxyState holds the state of one proxy.
type proxyState struct {
	id             int // index of the proxy
	connected      bool
	connectedAt    Microseconds
	disconnectedAt Microseconds // time of the last disconnection; 0 if the proxy is connected, or was never connected
	zone, subset   int          // indices of the proxy's zone and subset
	baselineRate   float64      // requests per second that reach the proxy on ordinary days, at least 1
	demand         []float64    // requests per second that reach the proxy now, by class

	// tablesAssigned is set once this controller has assigned its tables to the proxy. With sharding
	// it is always set: such a proxy has no tables, and reads owners from the store of shards.
	tablesAssigned bool
	// missingClasses is the set of classes whose table was left out of the assigned tables, because no
	// usable backend belongs to it: bit i is class i. The proxy keeps the tables that it has for them.
	missingClasses uint16

	// mayHoldForeignWithdrawals is set if the proxy may hold withdrawals of other controllers.
	mayHoldForeignWithdrawals bool
	// withdrawalsSynced is set once the proxy was sent a withdrawals message, before its tables, see
	// sync.go.
	withdrawalsSynced bool
	// withdrawalsCleared is set once the withdrawals of other controllers were cleared at the
	// proxy. From then on, the first entry of each backend lifts the backend's withdrawal at the
	// proxy, which costs one more line.
	withdrawalsCleared bool
	// heldWithdrawals is the number of withdrawals that this controller sent to the proxy before
	// its tables, or that the proxy held when it connected. A first entry that lifts one of these
	// withdrawals costs one more line too.
	heldWithdrawals float64
	// heldByNext is the number of withdrawals that the proxy may hold when it connects next.
	heldByNext float64

	// acknowledged is the number of the latest push batch that the proxy has acknowledged. The proxy
	// has received all batches up to this number.
	acknowledged int64
	// messageTimes holds the times of the messages to the proxy within the message window, in increasing
	// order.
	messageTimes []Microseconds

	// State of the message pace (message_pace.go).

	// peersSentUntil is the time up to which other controllers may have sent messages to a proxy that
	// connects next; 0 if it is not known.
	peersSentUntil Microseconds
	// bucketFullAt is the time at which the proxy's token bucket is full, if it is sent no message
	// until then.
	bucketFullAt Microseconds
	// unreleasedMessages is the number of messages to the proxy that the host holds back.
	unreleasedMessages int
	// held is set while the host collects changes for a later message to the proxy.
	held        bool
	heldLines   Lines          // cost of the collected changes
	heldUrgency messageUrgency // urgency of the most urgent one of the collected changes
}

// hasAllTables reports whether this controller has assigned the proxy a table for each class.
func (p *proxyState) hasAllTables() bool { return p.tablesAssigned && p.missingClasses == 0 }

// unassignedClasses returns the classes out of all for which this controller has assigned the proxy no
// table.
func (p *proxyState) unassignedClasses(all uint16) uint16 {
	if !p.tablesAssigned {
		return all
	}
	return p.missingClasses
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
