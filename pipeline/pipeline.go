// Package pipeline runs a request from placement to response: it chooses an upstream, makes an attempt and decides
// whether to retry. The requests of all caller interfaces run through it; an Executor supplies what differs between
// them, such as the protocol of the upstream.
package pipeline

import (
	"context"
	"time"

	"rhubarbpoint/retry"
)

// Target is the upstream that was chosen for an attempt.
type Target any

// Executor places and sends one request. Its implementation depends on the caller interface. It is not safe for
// concurrent use.
type Executor[T Target] interface {
	// Place chooses an upstream. The first call also admits the request. It may block.
	Place(ctx context.Context) (T, error)
	// Attempt sends the request and delivers the response. A nil error completes the request.
	Attempt(ctx context.Context, target T) error
}

// Run makes attempts until one succeeds or no retry is allowed, and returns the last error. onRetry is called before
// the backoff of each retry.
func Run[T Target](ctx context.Context, req *Request, executor Executor[T], onRetry func()) error {
	for {
		target, err := executor.Place(ctx)
		if err == nil {
			err = executor.Attempt(ctx, target)
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
