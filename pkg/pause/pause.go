// Package pause sleeps with cancellation by a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration. It returns the context's error if the context ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
