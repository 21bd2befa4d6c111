//go:build !race

package scale

// raceDetected reports whether the race detector is on.
const raceDetected = false
