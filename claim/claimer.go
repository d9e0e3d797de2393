package claim

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// defaultSendTimeout bounds the SendFunc of an order whose caller set no deadline.
	defaultSendTimeout = 2 * time.Minute
	// recordTimeout bounds the attempts to record an outcome in the store.
	recordTimeout = 30 * time.Second
	// recordWait bounds how long a response is held back until its outcome is recorded. The response is final without the
	// record, whose only purpose is that duplicate requests get already_completed after this process has terminated.
	recordWait = time.Second
)

// Claimer implements Runner with claims in the store. It is safe for concurrent use.
type Claimer struct {
	opts        Options
	stats       *stats
	attempts    *attempts
	committer   *committer
	unreachable *unreachableSet

	ctx      context.Context // ends when Stop gives up
	cancel   context.CancelFunc
	mu       sync.Mutex
	stopping bool
	inFlight sync.WaitGroup // calls of Run, orders being sent and outcomes being recorded
}

var _ Runner = (*Claimer)(nil)

// New returns a Claimer. It must be stopped.
func New(opts Options) *Claimer {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{opts: opts, stats: newStats(opts.Metrics), unreachable: newUnreachableSet(), ctx: ctx, cancel: cancel}
	c.attempts = newAttempts(opts.View.Self(), c.stats)
	c.committer = newCommitter(ctx, &opts, c.stats, func(p int) bool { return c.writer(p) == opts.View.Self() })
	return c
}

// Stop refuses new orders, waits until the orders in flight have ended and their outcomes are recorded, or until the
// context ends, and then stops writing claims. It returns the context's error if the wait was cut short. Afterwards,
// peers for which this instance is still the writer have to write to the store directly.
func (c *Claimer) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		c.inFlight.Wait()
		close(drained)
	}()
	var err error
	select {
	case <-drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.cancel()
	c.committer.close()
	return err
}

// begin registers work that Stop waits for. It returns false if the Claimer is stopping.
func (c *Claimer) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false
	}
	c.inFlight.Add(1)
	return true
}

// Run implements Runner.
func (c *Claimer) Run(ctx context.Context, keyText string, fingerprint Fingerprint, send SendFunc) (*Response, error) {
	c.stats.runs.Inc(1)
	resp, err := c.run(ctx, keyText, fingerprint, send)
	if err != nil {
		c.stats.countError(err)
		return nil, err
	}
	return resp, nil
}

func (c *Claimer) run(ctx context.Context, keyText string, fingerprint Fingerprint, send SendFunc) (*Response, *Error) {
	id, err := parseKey(keyText)
	if err != nil {
		return nil, errNotRun(CodeInvalidKey, "the idempotency key must be a UUIDv7")
	}
	if !id.inWindow(c.opts.Now()) {
		return nil, errUnknown(CodeKeyOutsideWindow, "the key's timestamp must be at most 10 minutes old and 1 minute ahead")
	}
	if !c.begin() {
		return nil, errUnknown(CodeStopping, "this instance is stopping")
	}
	defer c.inFlight.Done()
	for {
		a, acquired, changed := c.attempts.acquire(id, fingerprint)
		if acquired {
			return c.claim(ctx, a, send)
		}
		if a.fingerprint != fingerprint {
			return nil, errKeyReused()
		}
		if resp, err, finished := c.attempts.result(a); finished {
			c.stats.duplicates.Inc(1)
			return resp, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errDeadline("another request with the same key was running")
		}
	}
}

// claim puts the attempt's claim into the store and sends the order if the claim is confirmed.
func (c *Claimer) claim(ctx context.Context, a *attempt, send SendFunc) (*Response, *Error) {
	current, err := c.putRecord(ctx, a.key, a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED))
	switch {
	case errors.Is(err, errExpired):
		c.attempts.remove(a)
		return nil, errUnknown(CodeKeyOutsideWindow, "the claims of the key's minute have been removed from the store")
	case errors.Is(err, topo.ErrTooLarge):
		c.attempts.release(a)
		return nil, errUnknown(CodeSlotFull, "too many orders have a key with a timestamp in the same minute")
	case err != nil:
		c.attempts.release(a)
		return nil, putError(ctx)
	case !bytes.Equal(current.GetToken(), a.token[:]):
		c.attempts.remove(a)
		c.stats.duplicates.Inc(1)
		return c.resolveDuplicate(ctx, a, current)
	case current.GetState() != peerpb.ClaimState_CLAIM_STATE_CLAIMED:
		c.attempts.remove(a)
		return nil, errUnknown(CodeOutcomeUnknown, "another process has ended this claim")
	case ctx.Err() != nil:
		return nil, c.cancelUnsent(a)
	}
	return c.send(ctx, a, send)
}

// putError returns the error of a claim that could not be put into the store.
func putError(ctx context.Context) *Error {
	if ctx.Err() != nil {
		return errDeadline("the order's key was being claimed")
	}
	return errUnknown(CodeStoreUnavailable, "the key could not be claimed in the store")
}

// cancelUnsent finishes an attempt as cancelled whose claim was confirmed but whose order was not sent.
func (c *Claimer) cancelUnsent(a *attempt) *Error {
	err := errNotRun(CodeCancelled, "the request ended before the order was sent")
	c.attempts.finish(a, nil, err)
	c.inFlight.Add(1)
	go c.recordOutcome(a, make(chan struct{}))
	return err
}

// send sends the order in a separate goroutine, so that the order completes and its outcome is recorded even if the
// caller disconnects.
func (c *Claimer) send(ctx context.Context, a *attempt, send SendFunc) (*Response, *Error) {
	c.attempts.markSending(a)
	finished, recorded := make(chan struct{}), make(chan struct{})
	c.inFlight.Add(1)
	go func() {
		resp, err := c.callSend(ctx, send)
		c.attempts.finish(a, resp, err)
		close(finished)
		c.recordOutcome(a, recorded)
	}()
	select {
	case <-finished:
		c.awaitRecorded(ctx, recorded)
	case <-ctx.Done():
		// The attempt may have finished at the same moment; then its result is returned.
	}
	resp, err, known := c.attempts.result(a)
	if !known {
		return nil, errDeadline("the order was running")
	}
	return resp, err
}

// awaitRecorded waits until the outcome is recorded, for at most recordWait.
func (c *Claimer) awaitRecorded(ctx context.Context, recorded <-chan struct{}) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callSend calls the SendFunc and classifies its error. If this process was paused after its claim was confirmed, the
// order may be sent late, but no other process has sent it or reported it as not run.
func (c *Claimer) callSend(ctx context.Context, send SendFunc) (*Response, *Error) {
	deadline, set := ctx.Deadline()
	if !set {
		deadline = time.Now().Add(defaultSendTimeout)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	c.stats.sent.Inc(1)
	resp, err := send(ctx)
	switch {
	case err == nil && resp != nil:
		return resp, nil
	case errors.Is(err, ErrNotSent):
		return nil, &Error{Code: CodeNotSent, Message: err.Error(), Run: NotRun, Cause: err}
	case err != nil:
		return nil, &Error{Code: CodeOutcomeUnknown, Message: err.Error(), Run: RunUnknown, Cause: err}
	}
	return nil, errUnknown(CodeOutcomeUnknown, "the order was sent but got no response")
}

// recordOutcome puts the outcome of a finished attempt into the store, unless the outcome is unknown.
func (c *Claimer) recordOutcome(a *attempt, recorded chan<- struct{}) {
	defer c.inFlight.Done()
	defer close(recorded)
	outcome := a.outcomeRecord()
	if outcome.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	// No outcome has to be recorded in an expired slot, since duplicate requests with its keys are refused.
	if _, err := c.putRecord(ctx, a.key, outcome); err != nil && !errors.Is(err, errExpired) {
		eventOutcomeNotRecorded.Log(ctx, c.opts.Logger)
	}
}

func errKeyReused() *Error {
	return errUnknown(CodeKeyReused, "the key was used for an order with different content")
}
