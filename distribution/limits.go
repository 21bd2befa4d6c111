package distribution

// Microseconds is a time of the node's own clock, or a duration on it.
type Microseconds = int64

// Units of the limits: times are in microseconds, sizes in bytes.
const (
	millisecond Microseconds = 1_000
	second      Microseconds = 1_000 * millisecond

	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Limits bounds what a node keeps, sends and waits for.
type Limits struct {
	// Heartbeat is the time between two heartbeats to a child.
	Heartbeat Microseconds
	// Lease is how long a parent and a child each wait for the other's messages before giving it up.
	Lease Microseconds
	// Handshake is the time that a dial and its admission may take, and a caller until it subscribes.
	Handshake Microseconds
	// MaxStaleness is the time of age, or of a parent's lag, after which another parent is looked for.
	MaxStaleness Microseconds

	// FanOut is the number of children of one parent.
	FanOut int
	// MaxDepth is the number of nodes above a subscriber, the voter among them.
	MaxDepth int

	// LogChanges is the number of changes kept for deltas.
	LogChanges int
	// LogBytes is the number of bytes of the changes kept for deltas.
	LogBytes int
	// Tombstones is the number of deleted entries kept.
	Tombstones int
	// StateBytes is the number of bytes of the entries kept. A subscriber refuses more.
	StateBytes int

	// Window is the number of bytes sent to a child that it has not yet confirmed.
	Window int
	// BatchBytes bounds the changes in one delta, unless a single change is larger.
	BatchBytes int
	// PieceBytes bounds the entries in one piece of a snapshot, unless a single entry is larger.
	PieceBytes int
	// MaxSnapshots is the number of snapshots under way to children at once.
	MaxSnapshots int
	// SnapshotBytesPerSecond is the pace of all these snapshots together.
	SnapshotBytesPerSecond int

	// MinBackoff is the time to wait after a first failure, before jitter.
	MinBackoff Microseconds
	// MaxBackoff is the time to wait after many failures, before jitter.
	MaxBackoff Microseconds
	// HedgeDelay is the time after which another parent is dialled beside those that have not admitted yet.
	HedgeDelay Microseconds
	// MaxRetryAfter is the time after which a refused child may come again at the latest.
	MaxRetryAfter Microseconds
	// MaxCandidates is the number of possible parents kept, configured ones not counted.
	MaxCandidates int
	// MaxProposed is the number of candidates in one message.
	MaxProposed int
	// MaxScopes is the number of scopes named in one subscription.
	MaxScopes int
}

// Defaults of the limits, in their units.
const (
	DefaultHeartbeat    = second
	DefaultLease        = 1800 * millisecond // a change reaches the children of a silent parent by another within 3 s
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

// DefaultLimits are limits for a subscriber among some ten thousand.
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
