package scale

// Budgets: the largest allowed cost of control at a controller, in an installation of the size that
// is expected in two years. The constants after the budgets are the number of controllers in this
// installation and its rates of changes.
const (
	maxBytesPerSecond     = 23_000 // bytes per second that a controller receives and sends together
	maxProcessorPercent   = 4      // processor time of a controller in percent of a core
	maxMegabytes          = 256
	maxMachines           = 23  // total number of machines that are dedicated to control
	maxAddedMilliseconds  = 4.3 // milliseconds that a proxy adds to a request, 99th percentile
	maxPropagationSeconds = 3   // seconds from the acceptance of a change until the last controller applies it

	targetControllers = 11_000
	changesPerSecond  = 0.42 // mean rate of changes: 36,000 a day
	changeRateFactor  = 10   // changes are also measured at the mean rate multiplied by this factor
)

// Unit conversions that several measurements share.
const (
	percent  = 100
	megabyte = 1 << 20
)
