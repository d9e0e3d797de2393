// Package pipeline runs a request from its placement to its answer: it chooses an upstream, makes an attempt, and decides
// whether another one may follow. Every request of every caller interface runs through it; an Exchange supplies what
// differs, such as how an upstream is spoken to.
package pipeline

import (
	"context"
	"time"

	"rhubarbpoint/retry"
)

// Target is the upstream that was chosen for an attempt.
type Target any

// Executor is the part of a request that depends on its interface. It is for one goroutine.
type Executor[T Target] interface {
	// Place chooses an upstream and admits the request the first time. It may wait.
	Place(ctx context.Context) (T, error)
	// Attempt sends the request and delivers the answer. A nil error ends the request.
	Attempt(ctx context.Context, target T) error
}

// Run makes attempts until one succeeds or none may follow, and returns the last error. onRetry is called before each
// further attempt.
func Run[T Target](ctx context.Context, req *Request, ex Executor[T], onRetry func()) error {
	for {
		target, err := ex.Place(ctx)
		if err == nil {
			err = ex.Attempt(ctx, target)
			req.RecordAttempt(err)
		}
		if err == nil || ctx.Err() != nil || !req.AllowRetry(time.Now(), err) {
			return err
		}
		onRetry()
		if retry.Sleep(ctx, max(req.Attempts, 1)) != nil {
			return err
		}
	}
}
