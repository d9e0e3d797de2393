package claim

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

const (
	// ownerTimeout bounds one call to the owner, which answers after ownerWait at the latest.
	ownerTimeout = 3 * time.Second
	ownerWait    = 2 * time.Second
	// ownerTries is how often an owner that does not answer is asked. A call can be lost with its connection; an owner
	// that is gone must not hold repeats until their deadlines.
	ownerTries = 3
	ownerPause = 200 * time.Millisecond
)

// foreign answers a request whose key is claimed by another attempt.
func (c *Claimer) foreign(ctx context.Context, a *attempt, standing *peerpb.ClaimRecord) (*Response, *Error) {
	if !bytes.Equal(standing.GetFingerprint(), a.fingerprint[:]) {
		return nil, errKeyReused()
	}
	if standing.GetState() == peerpb.ClaimState_CLAIM_STATE_CANCELLED {
		return nil, errNotRun(CodeCancelled, "the order was cancelled before it was sent")
	}
	if standing.GetOwner() != c.opts.View.Self() {
		answer, err, known := c.askOwner(ctx, standing)
		if known {
			return answer, err
		}
	}
	return nil, c.withoutOwner(ctx, a, standing)
}

// askOwner waits for the owner's result. It returns known false when the owner does not answer or has forgotten it.
func (c *Claimer) askOwner(ctx context.Context, standing *peerpb.ClaimRecord) (*Response, *Error, bool) {
	for failures := 0; failures < ownerTries; {
		outcome, err := c.callOwner(ctx, standing)
		var remote *peer.RemoteError
		switch {
		case ctx.Err() != nil:
			return nil, errDeadline("the owner of the order was asked for its outcome"), true
		case errors.As(err, &remote):
			return nil, nil, false
		case err != nil:
			failures++
			sleep.For(ctx, ownerPause<<failures)
		case outcome.GetPending():
			failures = 0
		case !outcome.GetKnown():
			return nil, nil, false
		case outcome.GetErrorCode() != "":
			return nil, &Error{
				Code: outcome.GetErrorCode(), Message: "answer of the order's first request", Run: RunState(outcome.GetRun()),
			}, true
		default:
			return &Response{
				Status: int(outcome.GetStatus()), ContentType: outcome.GetContentType(), Body: outcome.GetBody(),
			}, nil, true
		}
	}
	return nil, nil, false
}

func (c *Claimer) callOwner(ctx context.Context, standing *peerpb.ClaimRecord) (*peerpb.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	resp, err := c.call(ctx, standing.GetOwner(), &peerpb.Request{
		Call: &peerpb.Request_AwaitOutcome{AwaitOutcome: &peerpb.AwaitOutcome{
			Key: standing.GetKey(), Fingerprint: standing.GetFingerprint(), Token: standing.GetToken(),
		}},
	})
	if err == nil && resp.GetOutcome() == nil {
		err = errors.Wrap(peer.ErrNoAnswer, "claim: answer without an outcome")
	}
	return resp.GetOutcome(), err
}

// withoutOwner answers from the record alone. The order may have ended since it was read, so it is read again.
func (c *Claimer) withoutOwner(ctx context.Context, a *attempt, standing *peerpb.ClaimRecord) *Error {
	if standing.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED {
		ctx, cancel := context.WithTimeout(ctx, writerWait)
		defer cancel()
		if again, err := c.place(ctx, a.key, a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)); err == nil {
			standing = again
		}
	}
	switch standing.GetState() {
	case peerpb.ClaimState_CLAIM_STATE_DONE:
		return errAlreadyCompleted()
	case peerpb.ClaimState_CLAIM_STATE_CANCELLED:
		return errNotRun(CodeCancelled, "the order was cancelled before it was sent")
	}
	return errUnknown(CodeOwnerUnreachable, "the instance that claimed the order cannot be asked for its outcome")
}
