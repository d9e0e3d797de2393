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
	// ownerTimeout bounds one call to the owner, which responds after maxOutcomeWait at the latest.
	ownerTimeout   = 3 * time.Second
	maxOutcomeWait = 2 * time.Second
	// maxOwnerFailures is how often in a row a call to the owner may fail. A single call can fail with its connection, but
	// an owner that is gone must not hold duplicate requests until their deadlines.
	maxOwnerFailures = 3
	minOwnerBackoff  = 200 * time.Millisecond
)

// resolveDuplicate returns the result of a request whose key is claimed by another attempt, which may be an earlier one
// of this process.
func (c *Claimer) resolveDuplicate(ctx context.Context, a *attempt, current *peerpb.ClaimRecord) (*Response, *Error) {
	if !bytes.Equal(current.GetFingerprint(), a.fingerprint[:]) {
		return nil, errKeyReused()
	}
	if current.GetState() == peerpb.ClaimState_CLAIM_STATE_CANCELLED {
		return nil, errNotRun(CodeCancelled, "the order was cancelled before it was sent")
	}
	if current.GetOwner() != c.opts.View.Self() {
		resp, err, known := c.askOwner(ctx, current)
		if known {
			return resp, err
		}
	}
	return nil, c.resolveFromRecord(ctx, a, current)
}

// askOwner waits for the owner's result. The bool is false if the owner cannot be reached or no longer has the attempt.
func (c *Claimer) askOwner(ctx context.Context, current *peerpb.ClaimRecord) (*Response, *Error, bool) {
	for failures := 0; failures < maxOwnerFailures; {
		outcome, err := c.callOwner(ctx, current)
		var remote *peer.RemoteError
		switch {
		case ctx.Err() != nil:
			return nil, errDeadline("the instance that claimed the order was asked for its outcome"), true
		case errors.As(err, &remote):
			return nil, nil, false
		case err != nil:
			failures++
			sleep.For(ctx, minOwnerBackoff<<failures)
		case outcome.GetPending():
			failures = 0
		case !outcome.GetKnown():
			return nil, nil, false
		case outcome.GetErrorCode() != "":
			return nil, &Error{
				Code: outcome.GetErrorCode(), Message: "result of the first request with the same key", Run: RunState(outcome.GetRun()),
			}, true
		default:
			return &Response{
				Status: int(outcome.GetStatus()), ContentType: outcome.GetContentType(), Body: outcome.GetBody(),
			}, nil, true
		}
	}
	return nil, nil, false
}

func (c *Claimer) callOwner(ctx context.Context, current *peerpb.ClaimRecord) (*peerpb.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	resp, err := c.call(ctx, current.GetOwner(), &peerpb.Request{
		Call: &peerpb.Request_AwaitOutcome{AwaitOutcome: &peerpb.AwaitOutcome{
			Key: current.GetKey(), Fingerprint: current.GetFingerprint(), Token: current.GetToken(),
		}},
	})
	if err == nil && resp.GetOutcome() == nil {
		err = errors.Wrap(peer.ErrNoResponse, "claim: response without an outcome")
	}
	return resp.GetOutcome(), err
}

// resolveFromRecord derives the result from the record alone, when the owner does not provide it. The order may have
// ended since the record was read, so the record is fetched again by putting the claim once more, which cannot replace
// it.
func (c *Claimer) resolveFromRecord(ctx context.Context, a *attempt, current *peerpb.ClaimRecord) *Error {
	if current.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED {
		ctx, cancel := context.WithTimeout(ctx, writerStoreTimeout)
		defer cancel()
		if again, err := c.putRecord(ctx, a.key, a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)); err == nil {
			current = again
		}
	}
	switch current.GetState() {
	case peerpb.ClaimState_CLAIM_STATE_DONE:
		return errAlreadyCompleted()
	case peerpb.ClaimState_CLAIM_STATE_CANCELLED:
		return errNotRun(CodeCancelled, "the order was cancelled before it was sent")
	}
	return errUnknown(CodeOwnerUnreachable, "the instance that claimed the order cannot be asked for its outcome")
}
