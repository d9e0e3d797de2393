// Package sleep waits for a time or the end of a context, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns false when the context has ended.
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
