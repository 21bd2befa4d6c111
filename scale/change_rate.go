package scale

import (
	"math/rand/v2"
	"time"
)

// changeRate is a rate at which a measurement makes changes.
type changeRate struct {
	perS          float64 // mean changes per second
	suffix, about string  // suffix of the names of metrics at this rate, and text in the descriptions of these metrics
}

// pause returns a random time until the next change: 0.5 to 1.5 times the mean interval.
func (r changeRate) pause(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) / r.perS * float64(time.Second))
}

func changeRates() []changeRate {
	return []changeRate{{changesPerSecond, "", "0.42 changes a second"}, {changesPerSecond * changeRateFactor, "_x10", "4.2 changes a second"}}
}
