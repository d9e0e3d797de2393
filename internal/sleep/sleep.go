// Package sleep waits for a duration or the end of a context, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context has ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
