package scale

// What a controller may spend for control, by the size in two years.
const (
	maxBytesPerSecond     = 23_000 // in and out together
	maxProcessorPercent   = 4      // percent of a core
	maxMegabytes          = 256
	maxMachines           = 23  // set aside for control, in all
	maxAddedMilliseconds  = 4.3 // milliseconds added to a request, 99 in 100
	maxPropagationSeconds = 3   // seconds from a change's acceptance until the last controller acts by it

	targetControllers = 11_000
	changesPerSecond  = 0.42 // 36,000 a day
	changeRateFactor  = 10   // what is measured beside the mean
)

// Parts of figures that several measurements have.
const (
	percent  = 100
	megabyte = 1 << 20
)
