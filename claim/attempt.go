package claim

import "rhubarbpoint/peer/peerpb"

// phase is the progress of this process's attempt at a key.
type phase int

const (
	// phaseIdle: no request is working on the key. The claim record may be in the store already, may still be written by
	// a delayed store call, or may never be.
	phaseIdle phase = iota
	// phaseClaiming: a caller's request is claiming the key.
	phaseClaiming
	// phaseSending: the claim was confirmed and the order is being sent.
	phaseSending
	// phaseFinished: the result is known and final.
	phaseFinished
)

// attempt is this process's attempt to run the order with a key. Its token never changes, so that a request that
// follows a failed one continues the same claim. Its fields are guarded by the mutex of the attempts table.
type attempt struct {
	key         key
	fingerprint Fingerprint
	token       [8]byte
	owner       string

	phase    phase
	changed  chan struct{} // closed and replaced at each change of the phase
	response *Response
	err      *Error
}

func (a *attempt) record(state peerpb.ClaimState) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Key: a.key[:], Fingerprint: a.fingerprint[:], Token: a.token[:], Owner: a.owner, State: state,
	}
}

// outcomeRecord returns the record of a finished attempt. An order with an unknown outcome stays claimed.
func (a *attempt) outcomeRecord() *peerpb.ClaimRecord {
	switch {
	case a.err == nil:
		record := a.record(peerpb.ClaimState_CLAIM_STATE_DONE)
		record.Status = uint32(a.response.Status)
		return record
	case a.err.Run == NotRun:
		return a.record(peerpb.ClaimState_CLAIM_STATE_CANCELLED)
	}
	return a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)
}
