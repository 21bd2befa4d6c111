package distribution

// Microseconds is a time or a duration on the clock of one node.
type Microseconds = int64

// Units of the limits: times are in microseconds, sizes in bytes.
const (
	millisecond Microseconds = 1_000
	second      Microseconds = 1_000 * millisecond

	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Limits bounds the memory, the messages and the waiting times of a node.
type Limits struct {
	// Heartbeat is the time between two heartbeats to a child.
	Heartbeat Microseconds
	// Lease is the time after which a parent removes a child that sent no Renew, and after which a
	// child leaves a parent that sent no message.
	Lease Microseconds
	// Handshake bounds the time from a dial to the admission, from a request to its answer, and
	// from an accepted connection to its first Subscribe.
	Handshake Microseconds
	// MaxStaleness is the time after which a node looks for another parent, if for that long its
	// configuration was not known to be current, or its parent held an older version.
	MaxStaleness Microseconds

	// FanOut is the maximum number of children of one parent.
	FanOut int
	// MaxDepth is the maximum number of ancestors of a subscriber, including the voter.
	MaxDepth int

	// LogChanges is the maximum number of changes in the log from which deltas are made.
	LogChanges int
	// LogBytes is the maximum total size, in bytes, of the changes in the log from which deltas are
	// made.
	LogBytes int
	// Tombstones is the maximum number of tombstones.
	Tombstones int
	// StateBytes is the maximum number of bytes of all entries. A subscriber refuses messages that
	// would exceed it.
	StateBytes int

	// Window is the number of unconfirmed bytes at which a parent stops sending deltas and snapshot
	// pieces to a child.
	Window int
	// BatchBytes bounds the size in bytes of the changes in one delta, unless a single change is
	// larger.
	BatchBytes int
	// PieceBytes bounds the size in bytes of the entries in one piece of a snapshot, unless a
	// single entry is larger.
	PieceBytes int
	// MaxSnapshots is the maximum number of snapshots under way to children at the same time.
	MaxSnapshots int
	// SnapshotBytesPerSecond is the total rate of all outgoing snapshots, in bytes per second.
	SnapshotBytesPerSecond int

	// MinBackoff is the upper bound of the random wait before the dial that follows a first
	// failure.
	MinBackoff Microseconds
	// MaxBackoff is the upper bound of the random wait before a dial, however many consecutive
	// failures precede it.
	MaxBackoff Microseconds
	// HedgeDelay is the time without an admission after which a further candidate is dialled in
	// parallel.
	HedgeDelay Microseconds
	// MaxRetryAfter is the longest time that a refused child waits before it asks the same parent
	// again.
	MaxRetryAfter Microseconds
	// MaxCandidates is the maximum number of learned candidates; configured candidates do not
	// count.
	MaxCandidates int
	// MaxProposed is the maximum number of candidates in one message.
	MaxProposed int
	// MaxScopes is the maximum number of scopes named in one subscription.
	MaxScopes int
}

// Defaults of the limits: times in microseconds, sizes in bytes.
const (
	DefaultHeartbeat = second
	// With this DefaultLease, the children of a silent parent get changes from another parent within
	// 3 s.
	DefaultLease        = 1800 * millisecond
	DefaultHandshake    = 3 * second
	DefaultMaxStaleness = 5 * second

	DefaultFanOut   = 16
	DefaultMaxDepth = 8

	DefaultLogChanges = 20_000
	DefaultLogBytes   = 8 * mebibyte
	DefaultTombstones = 20_000
	DefaultStateBytes = 96 * mebibyte

	DefaultWindow                 = 64 * kibibyte
	DefaultBatchBytes             = 16 * kibibyte
	DefaultPieceBytes             = 4 * kibibyte
	DefaultMaxSnapshots           = 4
	DefaultSnapshotBytesPerSecond = 16 * kibibyte

	DefaultMinBackoff    = 200 * millisecond
	DefaultMaxBackoff    = 2 * second
	DefaultMaxRetryAfter = 10 * second
	DefaultHedgeDelay    = 400 * millisecond
	DefaultMaxCandidates = 32
	DefaultMaxProposed   = 4
	DefaultMaxScopes     = 4096
)

// DefaultLimits returns the limits of a subscriber in a tree of about ten thousand nodes.
func DefaultLimits() Limits {
	return Limits{
		Heartbeat:    DefaultHeartbeat,
		Lease:        DefaultLease,
		Handshake:    DefaultHandshake,
		MaxStaleness: DefaultMaxStaleness,

		FanOut:   DefaultFanOut,
		MaxDepth: DefaultMaxDepth,

		LogChanges: DefaultLogChanges,
		LogBytes:   DefaultLogBytes,
		Tombstones: DefaultTombstones,
		StateBytes: DefaultStateBytes,

		Window:                 DefaultWindow,
		BatchBytes:             DefaultBatchBytes,
		PieceBytes:             DefaultPieceBytes,
		MaxSnapshots:           DefaultMaxSnapshots,
		SnapshotBytesPerSecond: DefaultSnapshotBytesPerSecond,

		MinBackoff:    DefaultMinBackoff,
		MaxBackoff:    DefaultMaxBackoff,
		MaxRetryAfter: DefaultMaxRetryAfter,
		HedgeDelay:    DefaultHedgeDelay,
		MaxCandidates: DefaultMaxCandidates,
		MaxProposed:   DefaultMaxProposed,
		MaxScopes:     DefaultMaxScopes,
	}
}
