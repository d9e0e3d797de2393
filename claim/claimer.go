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
	// defaultSendTimeout bounds the sending of an order whose caller set no deadline.
	defaultSendTimeout = 2 * time.Minute
	// recordTimeout bounds the attempts to record an outcome in the store.
	recordTimeout = 30 * time.Second
	// recordWait is how long an answer waits until its outcome is recorded. The answer is final without it; the record
	// only lets repeats be answered with already_completed after this process has gone.
	recordWait = time.Second
)

// Claimer implements Runner on the store. It is safe for concurrent use.
type Claimer struct {
	opts      Options
	stats     *stats
	attempts  *attempts
	committer *committer
	avoided   *avoided

	ctx      context.Context // ends when Stop gives up
	cancel   context.CancelFunc
	mu       sync.Mutex
	stopping bool
	orders   sync.WaitGroup // runs, orders being sent and outcomes being recorded
}

var _ Runner = (*Claimer)(nil)

// New returns a Claimer. It must be stopped.
func New(opts Options) *Claimer {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{opts: opts, stats: newStats(opts.Metrics), avoided: newAvoided(), ctx: ctx, cancel: cancel}
	c.attempts = newAttempts(opts.View.Self(), c.stats)
	c.committer = newCommitter(ctx, &opts, c.stats, func(p int) bool { return c.writer(p) == opts.View.Self() })
	return c
}

// Stop refuses new orders, waits until the orders in flight have ended and their outcomes are recorded, or until the
// context ends, and then stops the writing of claims. Peers that still use this instance as a writer must go to the
// store themselves afterwards.
func (c *Claimer) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		c.orders.Wait()
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

// begin counts work that Stop has to wait for. It returns false when the Claimer is stopping.
func (c *Claimer) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false
	}
	c.orders.Add(1)
	return true
}

// Run implements Runner.
func (c *Claimer) Run(ctx context.Context, text string, fingerprint Fingerprint, send SendFunc) (*Response, error) {
	c.stats.runs.Inc(1)
	answer, err := c.run(ctx, text, fingerprint, send)
	if err != nil {
		c.stats.count(err)
		return nil, err
	}
	return answer, nil
}

func (c *Claimer) run(ctx context.Context, text string, fingerprint Fingerprint, send SendFunc) (*Response, *Error) {
	id, err := parseKey(text)
	if err != nil {
		return nil, errNotRun(CodeInvalidKey, "the idempotency key must be a UUIDv7")
	}
	if !id.within(c.opts.Now()) {
		return nil, errUnknown(CodeKeyOutsideWindow, "the key's time must be at most 10 minutes ago and 1 minute ahead")
	}
	if !c.begin() {
		return nil, errUnknown(CodeStopping, "this instance is stopping")
	}
	defer c.orders.Done()
	for {
		a, mine, changed := c.attempts.enter(id, fingerprint)
		if mine {
			return c.claim(ctx, a, send)
		}
		if a.fingerprint != fingerprint {
			return nil, errKeyReused()
		}
		if answer, err, finished := c.attempts.result(a); finished {
			c.stats.repeats.Inc(1)
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errDeadline("another request with its key was running")
		}
	}
}

// claim places the attempt's record and sends the order if the record stands.
func (c *Claimer) claim(ctx context.Context, a *attempt, send SendFunc) (*Response, *Error) {
	standing, err := c.place(ctx, a.key, a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED))
	switch {
	case errors.Is(err, errExpired):
		c.attempts.forget(a)
		return nil, errUnknown(CodeKeyOutsideWindow, "the claims of the key's minute have been dropped")
	case errors.Is(err, topo.ErrTooLarge):
		c.attempts.leave(a)
		return nil, errUnknown(CodeSlotFull, "too many orders have a key of this minute")
	case err != nil:
		c.attempts.leave(a)
		return nil, placeError(ctx)
	case !bytes.Equal(standing.GetToken(), a.token[:]):
		c.attempts.forget(a)
		c.stats.repeats.Inc(1)
		return c.foreign(ctx, a, standing)
	case standing.GetState() != peerpb.ClaimState_CLAIM_STATE_CLAIMED:
		c.attempts.forget(a)
		return nil, errUnknown(CodeOutcomeUnknown, "another process has ended this claim")
	case ctx.Err() != nil:
		return nil, c.cancelled(a)
	}
	return c.send(ctx, a, send)
}

func placeError(ctx context.Context) *Error {
	if ctx.Err() != nil {
		return errDeadline("the order's key was being claimed")
	}
	return errUnknown(CodeStoreUnavailable, "the key could not be claimed")
}

// cancelled ends a confirmed claim whose order was not sent.
func (c *Claimer) cancelled(a *attempt) *Error {
	err := errNotRun(CodeCancelled, "the request ended before the order was sent")
	c.attempts.finish(a, nil, err)
	c.orders.Add(1)
	go c.recordOutcome(a, make(chan struct{}))
	return err
}

// send sends the order in a goroutine of its own, so that it ends and its outcome is recorded also when the caller
// hangs up.
func (c *Claimer) send(ctx context.Context, a *attempt, send SendFunc) (*Response, *Error) {
	c.attempts.sending(a)
	finished, recorded := make(chan struct{}), make(chan struct{})
	c.orders.Add(1)
	go func() {
		answer, err := c.deliver(ctx, send)
		c.attempts.finish(a, answer, err)
		close(finished)
		c.recordOutcome(a, recorded)
	}()
	select {
	case <-finished:
		c.awaitRecord(ctx, recorded)
	case <-ctx.Done():
		// The result is final if it came at the same moment.
	}
	answer, err, known := c.attempts.result(a)
	if !known {
		return nil, errDeadline("the order was running")
	}
	return answer, err
}

func (c *Claimer) awaitRecord(ctx context.Context, recorded <-chan struct{}) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deliver calls the SendFunc. If this process was paused since its claim was confirmed, the order may be sent late but
// nobody else has sent it or reported it as not run.
func (c *Claimer) deliver(ctx context.Context, send SendFunc) (*Response, *Error) {
	deadline, set := ctx.Deadline()
	if !set {
		deadline = time.Now().Add(defaultSendTimeout)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	c.stats.sent.Inc(1)
	answer, err := send(ctx)
	switch {
	case err == nil && answer != nil:
		return answer, nil
	case errors.Is(err, ErrNotSent):
		return nil, &Error{Code: CodeNotSent, Message: err.Error(), Run: NotRun, Cause: err}
	case err != nil:
		return nil, &Error{Code: CodeOutcomeUnknown, Message: err.Error(), Run: RunUnknown, Cause: err}
	}
	return nil, errUnknown(CodeOutcomeUnknown, "no answer")
}

// recordOutcome writes the outcome into the standing record.
func (c *Claimer) recordOutcome(a *attempt, recorded chan<- struct{}) {
	defer c.orders.Done()
	defer close(recorded)
	outcome := a.outcome()
	if outcome.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	// An expired slot needs no outcome: repeats of its keys are refused.
	if _, err := c.place(ctx, a.key, outcome); err != nil && !errors.Is(err, errExpired) {
		eventOutcomeNotRecorded.Log(ctx, c.opts.Logger)
	}
}

func errKeyReused() *Error {
	return errUnknown(CodeKeyReused, "the key was used for an order with another content")
}
