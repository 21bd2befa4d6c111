package balancer

type proxyState struct {
	connected, assigned               bool
	mayHoldForeign, withdrawalsSynced bool    // keeps: may hold withdrawals of others, until it is cleared of them
	withdrawalsCleared                bool    // a backend's first line lets it back from then on, and costs two
	heldWithdrawals                   float64 // withdrawals that it heard of before it was bound: the same
	zone, subset                      int
	baselineRate                      float64 // requests a second that come to it on ordinary days
	connectedAt, disconnectedAt       int64
	acknowledged                      int64     // orders up to this one have come through
	demand                            []float64 // requests a second that come to it, by class
	messageTimes                      []int64   // when messages went to it, within the span that is counted
	peerMessageTimes                  []int64   // the same by others, for when it joins
	reserveReleased                   bool      // others had sent some: its table may take what is kept for what is urgent
}
