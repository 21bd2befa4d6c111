//go:build !race

package scale

// raceDetected says that the race detector is on.
const raceDetected = false
