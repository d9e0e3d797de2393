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

// maxOwnerBytes bounds the owner's name in a record, since it takes space in a slot.
const maxOwnerBytes = 128

// HandleClaim places a record for another instance. It is the peer.Handler of Claim calls. Its errors are messages in
// the response: "expired", "slot_full", "unavailable" and "stopping" (the record may stand now or later), and
// "bad_record".
func (c *Claimer) HandleClaim(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	record := req.GetClaim().GetRecord()
	id, err := checkRecord(record)
	if err != nil {
		return errorResponse(codeBadRecord, err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, writerWait)
	defer cancel()
	standing, err := c.committer.submit(ctx, id, record)
	switch {
	case err == nil:
		return &peerpb.Response{Result: &peerpb.Response_Claim{Claim: &peerpb.ClaimResult{Record: standing}}}, nil
	case errors.Is(err, errExpired):
		return errorResponse(codeExpired, err), nil
	case errors.Is(err, topo.ErrTooLarge):
		return errorResponse(codeSlotFull, err), nil
	case errors.Is(err, errStopped):
		return errorResponse(codeStopping, err), nil
	}
	return errorResponse(codeUnavailable, err), nil
}

func checkRecord(record *peerpb.ClaimRecord) (key, error) {
	id, err := keyFromBytes(record.GetKey())
	switch {
	case err != nil:
		return key{}, err
	case len(record.GetToken()) != len(attempt{}.token), len(record.GetFingerprint()) != len(Fingerprint{}):
		return key{}, errors.New("claim: token or fingerprint of wrong length")
	case record.GetOwner() == "", len(record.GetOwner()) > maxOwnerBytes:
		return key{}, errors.New("claim: owner missing or too long")
	case record.GetState() < peerpb.ClaimState_CLAIM_STATE_CLAIMED, record.GetState() > peerpb.ClaimState_CLAIM_STATE_DONE:
		return key{}, errors.New("claim: unknown state")
	}
	return id, nil
}

// HandleAwaitOutcome answers another instance that has seen a claim of this process in the store and has a repeat of
// its key. It is the peer.Handler of AwaitOutcome calls.
func (c *Claimer) HandleAwaitOutcome(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	ask := req.GetAwaitOutcome()
	id, err := keyFromBytes(ask.GetKey())
	if err != nil {
		return errorResponse(codeBadRecord, err), nil
	}
	timer := time.NewTimer(ownerWait)
	defer timer.Stop()
	for {
		a, cancelled, changed := c.attempts.standing(id, ask.GetToken())
		if a == nil {
			return outcomeResponse(&peerpb.Outcome{}), nil
		}
		if cancelled && c.begin() {
			go c.recordOutcome(a, make(chan struct{}))
		}
		if answer, err, finished := c.attempts.result(a); finished {
			return outcomeResponse(outcomeOf(answer, err)), nil
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

func outcomeOf(answer *Response, err *Error) *peerpb.Outcome {
	if err != nil {
		return &peerpb.Outcome{Known: true, ErrorCode: err.Code, Run: string(err.Run)}
	}
	return &peerpb.Outcome{
		Known: true, Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body,
	}
}

func outcomeResponse(outcome *peerpb.Outcome) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Outcome{Outcome: outcome}}
}

func errorResponse(code string, err error) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{Code: code, Message: err.Error()}}}
}
