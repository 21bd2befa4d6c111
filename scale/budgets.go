package scale

// Budgets: the largest allowed cost of control at a controller, in an installation of the size that
// is expected in two years.
const (
	maxBytesPerSecond     = 23_000 // received and sent together
	maxProcessorPercent   = 4      // percent of a core
	maxMegabytes          = 256
	maxMachines           = 23  // dedicated to control, in total
	maxAddedMilliseconds  = 4.3 // milliseconds added to a request, 99th percentile
	maxPropagationSeconds = 3   // seconds from the acceptance of a change until the last controller applies it

	targetControllers = 11_000
	changesPerSecond  = 0.42 // 36,000 a day
	changeRateFactor  = 10   // changes are measured at the mean rate and at this multiple of it
)

// Unit conversions that several measurements share.
const (
	percent  = 100
	megabyte = 1 << 20
)
