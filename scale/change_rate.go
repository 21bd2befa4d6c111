package scale

import (
	"math/rand/v2"
	"time"
)

// changeRate is one pace of changes.
type changeRate struct {
	perS          float64 // mean
	suffix, about string  // of metrics
}

// pause draws the time to the next change: half to one and a half of the mean.
func (r changeRate) pause(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) / r.perS * float64(time.Second))
}

func changeRates() []changeRate {
	return []changeRate{{changesPerSecond, "", "0.42 changes a second"}, {changesPerSecond * changeRateFactor, "_x10", "4.2 changes a second"}}
}
