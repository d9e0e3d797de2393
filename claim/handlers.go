package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

var (
	_ peer.Handler = (*Claimer)(nil).HandleClaim
	_ peer.Handler = (*Claimer)(nil).HandleAwaitOutcome
)

// maxOwnerBytes bounds the owner's ID in a record, since it takes space in the slot.
const maxOwnerBytes = 128

// HandleClaim puts a record into the store for another instance. It is the peer.Handler of Claim calls. Errors are
// returned in the response, with the code "bad_record", "expired", "slot_full", "unavailable" or "stopping". After the
// last three, the record may be in the store or may still be written.
func (c *Claimer) HandleClaim(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	record := req.GetClaim().GetRecord()
	id, err := checkRecord(record)
	if err != nil {
		return errorResponse(codeBadRecord, err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, writerStoreTimeout)
	defer cancel()
	current, err := c.committer.submit(ctx, id, record)
	switch {
	case err == nil:
		return &peerpb.Response{Result: &peerpb.Response_Claim{Claim: &peerpb.ClaimResult{Record: current}}}, nil
	case errors.Is(err, errExpired):
		return errorResponse(codeExpired, err), nil
	case errors.Is(err, topo.ErrTooLarge):
		return errorResponse(codeSlotFull, err), nil
	case errors.Is(err, errStopped):
		return errorResponse(codeStopping, err), nil
	}
	return errorResponse(codeUnavailable, err), nil
}

// checkRecord validates a record received from a peer and returns its key.
func checkRecord(record *peerpb.ClaimRecord) (key, error) {
	id, err := keyFromBytes(record.GetKey())
	switch {
	case err != nil:
		return key{}, err
	case len(record.GetToken()) != len(attempt{}.token), len(record.GetFingerprint()) != len(Fingerprint{}):
		return key{}, errors.New("claim: token or fingerprint has the wrong length")
	case record.GetOwner() == "", len(record.GetOwner()) > maxOwnerBytes:
		return key{}, errors.Newf("claim: owner is empty or longer than %d bytes", maxOwnerBytes)
	case record.GetState() < peerpb.ClaimState_CLAIM_STATE_CLAIMED, record.GetState() > peerpb.ClaimState_CLAIM_STATE_DONE:
		return key{}, errors.Newf("claim: unknown state %d", record.GetState())
	}
	return id, nil
}

// HandleAwaitOutcome returns the outcome of an attempt of this process to another instance, which has received a
// duplicate request and read the attempt's claim in the store. It waits up to maxOutcomeWait and then responds that the
// outcome is pending. It is the peer.Handler of AwaitOutcome calls.
func (c *Claimer) HandleAwaitOutcome(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	await := req.GetAwaitOutcome()
	id, err := keyFromBytes(await.GetKey())
	if err != nil {
		return errorResponse(codeBadRecord, err), nil
	}
	timer := time.NewTimer(maxOutcomeWait)
	defer timer.Stop()
	for {
		a, cancelled, changed := c.attempts.lookupOrCancel(id, await.GetToken())
		if a == nil {
			return outcomeResponse(&peerpb.Outcome{}), nil
		}
		if cancelled && c.begin() {
			go c.recordOutcome(a, make(chan struct{}))
		}
		if resp, err, finished := c.attempts.result(a); finished {
			return outcomeResponse(outcomeOf(resp, err)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return outcomeResponse(&peerpb.Outcome{Pending: true}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func outcomeOf(resp *Response, err *Error) *peerpb.Outcome {
	if err != nil {
		return &peerpb.Outcome{Known: true, ErrorCode: err.Code, Run: string(err.Run)}
	}
	return &peerpb.Outcome{
		Known: true, Status: uint32(resp.Status), ContentType: resp.ContentType, Body: resp.Body,
	}
}

func outcomeResponse(outcome *peerpb.Outcome) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Outcome{Outcome: outcome}}
}

func errorResponse(code string, err error) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{Code: code, Message: err.Error()}}}
}
