package balancer

// Host carries out what a Controller decides. Effects ordered at one clock time (Now) leave as one message to each
// proxy concerned. A Controller calls its Host only while it handles an event, and in the same goroutine; the Host must
// not call back into the Controller from there.
type Host interface {
	// Now is the clock. It may stand still during an event, and never goes back.
	Now() Microseconds

	// SetTimer asks for TimerFired(tag) after a wait.
	SetTimer(wait Microseconds, tag uint64)

	// Log records a decision about a backend, or about none (-1).
	Log(backend int, text string)

	// PollEndpoints asks for the endpoint list. EndpointsUpdated or EndpointPollFailed answers.
	PollEndpoints()

	// CheckHealth starts a health check of a backend. HealthCheckCompleted answers.
	CheckHealth(backend int)

	// PublishEntry sets the weight of a backend in a table; 0 takes its entry out. Where there are shards, a table is a
	// shard, and its only entry is its owner.
	PublishEntry(table, backend int, weight float64)

	// AssignTable has a proxy use a table, in full, for a set of classes (bit i is class i).
	AssignTable(table, proxy int, classes uint16)

	// Withdraw has proxies that may hold tables of other controllers keep off a backend, or lets them use it again.
	Withdraw(backend int, withdrawn bool)

	// SyncWithdrawals tells one proxy, which connected later, of all withdrawals and admission limits that stand. The limit
	// and policy given are for classes that have none: a limit that means none, as for SetAdmissionLimit, and the default
	// policy. It returns false where the Host has no way to do so.
	SyncWithdrawals(proxy int, limit float64, retry RetryPolicy) bool

	// ClearWithdrawals lets a proxy use all that its tables have, whatever other controllers withdrew: now what they have,
	// and from then on each backend with its first entry.
	ClearWithdrawals(proxy int)

	// SetAdmissionLimit sets what proxies let in, of a set of classes at a table (or AllTables): a share or a rate, as the
	// AdmissionMode says, with the retry policy that goes with it. A limit of 1,000,000 means none, in either mode.
	SetAdmissionLimit(table int, classes uint16, limit float64, retry RetryPolicy)

	// RequestAck asks for an Acknowledged with this number from each proxy that the effects of this clock time reach, or
	// from all connected ones. The latter is never ordered; the wires have it.
	RequestAck(number int, everyone bool)
}

// AllTables is, as the table of SetAdmissionLimit, every table of every connected proxy.
const AllTables = 0xffff
