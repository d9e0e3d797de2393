package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns the pause before retry n, from 1: an exponentially growing span of which a random part is taken, so
// that requests that failed together do not return together.
func Backoff(n int, random func() float64) time.Duration {
	span := backoffMax
	if shift := max(n-1, 0); shift < 16 {
		span = min(backoffMax, backoffBase<<shift)
	}
	return span/2 + time.Duration(random()*float64(span/2))
}

// Sleep pauses before retry n. It returns the context's error when the context ends before.
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
