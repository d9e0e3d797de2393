package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// Backoff returns the pause before retry n, counted from 1. The pause grows exponentially. Up to half of it is random
// jitter, so that requests that failed at the same time are not retried at the same time.
func Backoff(n int, random func() float64) time.Duration {
	pause := maxBackoff
	if shift := max(n-1, 0); shift < 16 {
		pause = min(maxBackoff, baseBackoff<<shift)
	}
	return pause/2 + time.Duration(random()*float64(pause/2))
}

// Sleep waits for the backoff before retry n. It returns the context's cause if the context ends first.
func Sleep(ctx context.Context, n int) error {
	timer := time.NewTimer(Backoff(n, rand.Float64))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
