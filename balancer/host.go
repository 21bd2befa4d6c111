package balancer

// Host carries out the decisions of a Controller. All effects ordered at one clock time (Now) are
// sent to each proxy concerned as a single message. A Controller calls its Host only while it
// handles an event, in the goroutine of that event; during such a call the Host must not call the
// Controller.
type Host interface {
	// Now returns the current time. It may stay the same during an event, and never decreases.
	Now() Microseconds

	// SetTimer requests a call of Controller.TimerFired with the given tag once the given time has
	// passed.
	SetTimer(wait Microseconds, tag uint64)

	// Log records a decision about a backend, or, with -1 as the backend, about no single backend.
	Log(backend int, text string)

	// PollEndpoints requests the endpoint list. The answer is a call of EndpointsUpdated or
	// EndpointPollFailed.
	PollEndpoints()

	// CheckHealth starts a health check of a backend. The answer is a call of HealthCheckCompleted.
	CheckHealth(backend int)

	// PublishEntry sets the weight of a backend in a table; a weight of 0 removes the entry. With
	// sharding, each table is a shard, and its only entry is the shard's owner.
	PublishEntry(table, backend int, weight float64)

	// AssignTable makes a proxy use a complete table for a set of classes (bit i is class i).
	AssignTable(table, proxy int, classes uint16)

	// Withdraw makes proxies that may hold tables of other controllers avoid a backend, or allows
	// them to use it again.
	Withdraw(backend int, withdrawn bool)

	// SyncWithdrawals sends all withdrawals and admission limits in force to one proxy, which
	// connected after other proxies were sent these withdrawals and limits. For classes without a
	// limit in force, it sends its arguments: a limit that means unlimited, as defined at
	// SetAdmissionLimit, and the default retry policy. SyncWithdrawals returns false if the Host
	// does not support this message.
	SyncWithdrawals(proxy int, limit float64, retry RetryPolicy) bool

	// ClearWithdrawals lifts the withdrawals of other controllers at a proxy. The proxy may at
	// once use each backend that has an entry in its tables. It may use any other backend from the
	// time at which the backend first gets an entry in its tables.
	ClearWithdrawals(proxy int)

	// SetAdmissionLimit sets how many requests of a set of classes proxies admit at a table (or
	// AllTables): a share or a rate, depending on the AdmissionMode, with the retry policy that
	// accompanies it. A limit of 1,000,000 means unlimited, in either mode.
	SetAdmissionLimit(table int, classes uint16, limit float64, retry RetryPolicy)

	// HoldMessages makes the host collect the effects on a proxy, including those ordered before at
	// this clock time, instead of sending them. ResumeMessages makes it send what it has collected,
	// as a single message with the other effects of that clock time. A Controller calls them only
	// with PushChannel.SharedProxies.
	HoldMessages(proxy int)
	ResumeMessages(proxy int)

	// RequestAck requests an ack of the effects ordered at this clock time: the Host calls
	// Acknowledged with the given number for each proxy that these effects reach or, with
	// allConnected, for each connected proxy. A Controller always passes false for allConnected;
	// the parameter exists because the simulator's protocol has such a flag.
	RequestAck(number int, allConnected bool)
}

// AllTables is the table argument of Host.SetAdmissionLimit that stands for every table of every
// connected proxy.
const AllTables = 0xffff
