package claim

import "rhubarbpoint/peer/peerpb"

// phase is what this process does for a key.
type phase int

const (
	// phaseIdle: nobody works on the key. Its record may or may not stand in the store, or may still arrive there.
	phaseIdle phase = iota
	// phaseClaiming: a caller's request is claiming the key.
	phaseClaiming
	// phaseSending: the claim was confirmed and the order is being sent.
	phaseSending
	// phaseFinished: the result is known and final.
	phaseFinished
)

// attempt is this process's attempt at a key. It keeps one token for its whole life, so that a request that comes after
// a failed one goes on with the same claim. Its fields are guarded by the attempts table.
type attempt struct {
	key         key
	fingerprint Fingerprint
	token       [8]byte
	owner       string

	phase   phase
	changed chan struct{} // closed and replaced at each change of phase
	answer  *Response
	err     *Error
}

func (a *attempt) record(state peerpb.ClaimState) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Key: a.key[:], Fingerprint: a.fingerprint[:], Token: a.token[:], Owner: a.owner, State: state,
	}
}

// outcome is the record of a finished attempt. An order whose outcome is unknown stays claimed.
func (a *attempt) outcome() *peerpb.ClaimRecord {
	switch {
	case a.err == nil:
		record := a.record(peerpb.ClaimState_CLAIM_STATE_DONE)
		record.Status = uint32(a.answer.Status)
		return record
	case a.err.Run == NotRun:
		return a.record(peerpb.ClaimState_CLAIM_STATE_CANCELLED)
	}
	return a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)
}
