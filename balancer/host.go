// Package balancer holds every decision of a wheelrill controller.
//
// This file holds its interface: what a controller asks of the place it runs in, and the plain types that
// cross over. Nothing is decided here.
package balancer

// Host is the place a Controller runs in. Orders given at one clock time leave as one message to each proxy
// concerned. Backends, proxies, classes and zones are small indices; times are whole microseconds.
type Host interface {
	Now() int64
	After(wait int64, tag uint64)
	Log(backend int, line string) // about a backend, or -1 for none

	// The list of backends, and a look at one of them.
	Watch()
	Probe(backend int)

	// Tables, by number; a weight of 0 takes the line out. With slices a table is a slice.
	SetLine(table, backend int, weight float64)
	Bind(table, proxy int, classes uint16)
	Withdraw(backend int, out bool)
	// Remind tells one proxy, which came later, of all that is withdrawn and of its levels, or this one for what has
	// none: it may hold those of others. False where there is no way to.
	Remind(proxy int, allowance float64, tries Tries) bool
	// Clear lets a bound proxy use whatever its tables have and others withdrew, from now on with each first line.
	Clear(proxy int)
	Admit(table int, classes uint16, allowance float64, tries Tries)
	// Mark asks for an Applied from each proxy that this clock time's orders reach, or from all joined ones.
	Mark(number int, everyone bool)
}

// AllTables means, where it is given to Admit, every table of every joined proxy.
const AllTables = 0xffff

// Condition is what the list says of a backend.
type Condition uint8

const (
	Gone Condition = iota
	Ready
	Draining
)

// Entry is one line of the list.
type Entry struct {
	Backend   int
	Condition Condition
	Started   int64 // 0 for a distant past
	Weight    float64
	Zone      int
	Since     int64 // when a drain was ordered, as its grace runs from then on; 0 if that is now
}

// Class is one class of requests.
type Class struct {
	Target   int64
	Deadline int64
	Value    float64
	Writes   bool
	OwnZone  bool
}

// Tries is the manner in which proxies try again.
type Tries uint8

const (
	TryOnce Tries = iota
	TryAfterProof
	TryAfterFailure
	TryTwiceAfterFailure
)

// Admission is what a level means to the proxies.
type Admission uint8

const (
	AdmitNone Admission = iota
	AdmitShare
	AdmitRate
)

// Outcome is how a probe ended.
type Outcome uint8

const (
	Unknown Outcome = iota
	Answered
	Failed
	Refused
	TimedOut
	Unreachable
	Broken
)

// Load is what a backend said of itself; a figure it did not give is negative.
type Load struct {
	Busy    float64 // share of its cores at work
	Waiting float64 // requests not yet begun
	Service float64 // recent service time without waiting, microseconds
}

// Channel is the way from a controller to its proxies.
type Channel struct {
	LinesPerS    float64
	Head         float64
	Levels       float64 // lines of levels that go along with every message, whatever it is for
	Backlog      float64
	LongestWay   int64
	MessagesMost int
	MessagesSpan int64
	Proxies      int // that exist, at all controllers
	Connections  int // that the smallest backend takes; 0 if nobody says
}

// Limits are the figures of the rules.
type Limits struct {
	Grace             int64
	ColdShare         float64
	WarmBy            int64
	OnlyDrainingBinds bool
}

// Partition says how keys fall into slices; Count is 0 where there are none.
type Partition struct {
	Count       int
	SingleOwner bool
	WritesOn    int64 // a proxy that lost us goes on writing this long
	Settle      int64 // a write is concluded within this time
}

// Sight is what a controller may see and how.
type Sight struct {
	ReportEvery int64
	LinesPerS   float64 // report lines a second that it is given at most; 0 if nobody says
	MayProbe    bool
	MustAsk     bool
	LiveWeights bool // listed weights fall with the load of the moment
	AskWithin   int64
}
