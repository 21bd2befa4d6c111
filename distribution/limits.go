package distribution

// Units of the limits: times are in microseconds, sizes in bytes.
const (
	millisecond int64 = 1_000
	second      int64 = 1_000 * millisecond

	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Limits bounds what a node keeps, sends and waits for.
type Limits struct {
	Heartbeat    int64 // µs between two heartbeats to a child
	Lease        int64 // µs of silence after which a child loses its place, and a parent its child
	Handshake    int64 // µs that a dial and its admission may take, and a caller until it subscribes
	MaxStaleness int64 // µs of age, or of a parent's lag, after which another parent is looked for

	FanOut   int // children of one parent
	MaxDepth int // nodes above a subscriber, the voter among them

	LogChanges int // changes kept for deltas
	LogBytes   int // bytes of them
	Tombstones int // deleted entries kept
	StateBytes int // bytes of the entries kept

	Window                 int // bytes under way to a child that it has not yet confirmed
	BatchBytes             int // bytes of the changes in one delta, unless a single change is larger
	PieceBytes             int // bytes of the entries in one piece of a snapshot, unless a single entry is larger
	MaxSnapshots           int // snapshots under way to children at once
	SnapshotBytesPerSecond int // bytes a second of all these snapshots

	MinBackoff    int64 // µs to wait after a first failure, before jitter
	MaxBackoff    int64 // µs to wait after many
	HedgeDelay    int64 // µs after which another parent is dialled beside those that have not admitted yet
	MaxRetryAfter int64 // µs after which a refused child may come again at the latest
	MaxCandidates int   // possible parents kept, configured ones not counted
	MaxProposed   int   // candidates in one message
	MaxScopes     int   // scopes named in one subscription
}

// Defaults of the limits.
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
