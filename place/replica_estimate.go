package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// ReplicaEstimate is what this instance knows of a replica, in the explanation of a choice.
type ReplicaEstimate struct {
	Replica string `json:"replica"`
	Zone    string `json:"zone"`
	Stage   string `json:"stage"`
	// InFlight is the number of this instance's requests there, Requests the estimate with those of other instances.
	InFlight int     `json:"in_flight"`
	Requests float64 `json:"requests"`
	// Waiting is the number of queued requests by the last load report, QueuedTokens the number of prompt tokens that this
	// instance has sent and that are not processed yet.
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
	// SpeedFactor is the factor of the time that work takes there now, 1 if no report named one. FactorAgeMs is the age of
	// the report that named one, and absent if there is none.
	SpeedFactor float64  `json:"speed_factor"`
	FactorAgeMs *float64 `json:"factor_age_ms,omitempty"`
	// ReportAgeMs is the age of the last load report, and absent if there is none.
	ReportAgeMs *float64 `json:"report_age_ms,omitempty"`
	// Estimate is what the choice compared, nil for a replica that was excluded.
	Estimate *ChoiceEstimate `json:"estimate,omitempty"`
	Excluded Exclusion       `json:"excluded,omitempty"`
}

// ChoiceEstimate ranks a replica; the lowest score wins.
type ChoiceEstimate struct {
	// ScoreMs is weighted and contains penalties and a random part.
	ScoreMs     float64 `json:"score_ms"`
	WaitMs      float64 `json:"wait_ms"`
	FirstByteMs float64 `json:"first_byte_ms"`
}

// Describe returns what b knows of a replica, without an estimate for a request. It must be called on a copy, because
// it adds a record for a replica that is not known yet.
func (b *Balancer) Describe(now time.Time, r *upstream.Replica) ReplicaEstimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(r.Incarnation())
	e := ReplicaEstimate{
		Replica: r.ID, Zone: r.Zone, Stage: r.Stage.String(), InFlight: state.inFlight, Requests: thousandths(state.requests(now)),
		Waiting: state.waiting, QueuedTokens: state.queue.ownTokens, SpeedFactor: thousandths(b.slowness(now, r)),
	}
	if speed := state.speed; speed != nil && speed.momentary.value > 0 {
		e.FactorAgeMs = ageMs(now.Sub(speed.momentary.reportedAt))
	}
	if age := state.reportAge(now); age >= 0 {
		e.ReportAgeMs = ageMs(age)
	}
	return e
}

func ageMs(age time.Duration) *float64 {
	ms := thousandths(age.Seconds() * 1000)
	return &ms
}
