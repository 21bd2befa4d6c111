package scale

// What a controller may spend for control, by the size in two years.
const (
	mostBytesPerS = 23_000 // in and out together
	mostProcessor = 4      // percent of a core
	mostMegabytes = 256
	mostMachines  = 23  // set aside for control, in all
	mostAdded     = 4.3 // milliseconds added to a request, 99 in 100
	mostInForce   = 3   // seconds from a change's acceptance until the last controller acts by it

	controllersToCome = 11_000
	changesPerS       = 0.42 // 36,000 a day
	timesChanges      = 10   // what is measured beside the mean
)

// Parts of figures that several measurements have.
const (
	percent  = 100
	megabyte = 1 << 20
)
