package memory

import (
	"context"
	"sync"
	"time"
)

// retryInterval is how often a request that waits for room tries again, since callers stall as time passes.
const retryInterval = 100 * time.Millisecond

// Holding is what one request holds. Its methods may be called concurrently. The lock of its interruption is taken
// before that of the account.
type Holding struct {
	// Request is the ID of the request, for logs.
	Request string
	account *Account

	// Guarded by the account's lock.
	bytes int64
	// waitingSince is when the instance began to wait for the caller to accept or send a piece; zero if it does not.
	waitingSince time.Time
	ended        bool
	// over is set once End was called.
	over bool
	// endedAfter and endedHolding are the inputs of the decision to end the caller.
	endedAfter   time.Duration
	endedHolding int64

	// interrupting guards onEnd, which is called with it held, so that no interruption comes after it was replaced.
	interrupting sync.Mutex
	onEnd        func()
}

// Limited reports whether the account has bounds.
func (h *Holding) Limited() bool { return h.account.bounds.Limited() }

// Reserve adds n bytes if there is room, and returns an error that matches ErrNoRoom if there is not.
func (h *Holding) Reserve(purpose Purpose, n int64) error {
	return h.account.reserve(time.Now(), h, purpose, n)
}

// Wait is Reserve that waits for room until ctx ends, but for at most limit.
func (h *Holding) Wait(ctx context.Context, purpose Purpose, n int64, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		changed := h.account.change()
		err := h.account.reserve(time.Now(), h, purpose, n)
		if _, later := err.(*FullError); !later || !time.Now().Before(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-time.After(min(retryInterval, time.Until(end))):
		}
	}
}

// Add adds n bytes that are held already, whether there is room or not. A negative n gives bytes back.
func (h *Holding) Add(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(time.Now(), h, n)
}

// WaitForCaller records that the instance waits for the caller from now on, and that all earlier pieces were accepted. It
// returns ErrEnded if the caller was ended.
func (h *Holding) WaitForCaller() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return ErrEnded
	}
	h.waitingSince = time.Now()
	return nil
}

// CallerDone records that the instance does not wait for the caller any more.
func (h *Holding) CallerDone() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.waitingSince = time.Time{}
}

// Ended reports whether the caller was ended, and if so, how long it had made no progress and what was held for it.
func (h *Holding) Ended() (stalled time.Duration, held int64, ended bool) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.endedAfter, h.endedHolding, h.ended
}

// OnEnd sets the function that interrupts reading from the caller or writing to it when the caller is ended. After OnEnd
// has returned, an earlier function is not called any more.
func (h *Holding) OnEnd(interrupt func()) {
	h.interrupting.Lock()
	defer h.interrupting.Unlock()
	h.onEnd = interrupt
}

// End gives all bytes back. Later calls of Add and Reserve change nothing.
func (h *Holding) End() {
	h.OnEnd(nil)
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(time.Now(), h, -h.bytes)
	h.over = true
	delete(h.account.holdings, h)
}

func (h *Holding) interrupt() {
	h.interrupting.Lock()
	defer h.interrupting.Unlock()
	if h.onEnd != nil {
		h.onEnd()
	}
}

// stalled returns how long the instance has waited for the caller. The account's lock must be held.
func (h *Holding) stalled(now time.Time) time.Duration {
	if h.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(h.waitingSince)
}
