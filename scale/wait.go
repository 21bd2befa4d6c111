package scale

import (
	"context"
	"time"
)

// Intervals at which await and awaitClosely check their conditions.
const (
	pollInterval      = 20 * time.Millisecond
	closePollInterval = time.Millisecond // interval of awaitClosely, for waits whose duration is measured
)

// pauseFor waits for the given time. It returns an error if the context ends earlier.
func pauseFor(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// await waits until the condition holds, for at most the given time, and reports whether the
// condition holds.
func await(ctx context.Context, within time.Duration, holds func() bool) bool {
	return poll(ctx, within, pollInterval, holds)
}

// awaitClosely is like await, but checks the condition at a shorter interval.
func awaitClosely(ctx context.Context, within time.Duration, holds func() bool) bool {
	return poll(ctx, within, closePollInterval, holds)
}

func poll(ctx context.Context, within, interval time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return holds()
		case <-ticker.C:
		}
	}
	return true
}
