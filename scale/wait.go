package scale

import (
	"context"
	"time"
)

// How often something that is waited for is polled.
const (
	pollInterval      = 20 * time.Millisecond
	closePollInterval = time.Millisecond // where the time that it takes is measured
)

// pauseFor waits for a time, or with an error for the end of the context.
func pauseFor(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// await waits until something holds, for a while at most, and tells whether it does.
func await(ctx context.Context, within time.Duration, holds func() bool) bool {
	return poll(ctx, within, pollInterval, holds)
}

// awaitClosely waits as await does, and polls more often.
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
