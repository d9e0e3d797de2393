package route

import (
	"time"

	"rhubarbpoint/engine"
)

// EngineState is the state of one engine, for state dumps and as input of the role planner.
type EngineState struct {
	ID        string      `json:"id"`
	Region    string      `json:"region"`
	Local     bool        `json:"local"`
	Available bool        `json:"available"`
	Leaving   bool        `json:"leaving,omitempty"`
	Planned   bool        `json:"planned,omitempty"`
	Reported  bool        `json:"reported"`
	Role      engine.Role `json:"role,omitempty"`
	// ReportAge is the age of the load report in seconds.
	ReportAge float64 `json:"report_age_s"`
	// WaitingTokens, Running, MaxRunning and PrefillRate are estimates for the time of the call.
	WaitingTokens float64 `json:"waiting_tokens"`
	Running       float64 `json:"running"`
	Waiting       int     `json:"waiting"`
	MaxRunning    float64 `json:"max_running"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	// ArrivalRate is the reported rate of requests, PrefillPerArrival the mean number of uncached prompt tokens of a
	// request and DecodePerArrival the mean number of output tokens.
	ArrivalRate       float64 `json:"arrivals_per_second"`
	PrefillPerArrival float64 `json:"prefill_tokens_per_arrival"`
	DecodePerArrival  float64 `json:"answer_tokens_per_arrival"`
	StepSeconds       float64 `json:"step_s"`
	// DecodeRate is the expected output in tokens/s of the largest batch whose step meets the target.
	DecodeRate  float64 `json:"decode_tokens_per_second"`
	OwnInFlight int     `json:"own_in_flight"`
	KnownBlocks int     `json:"known_pieces"`
	// Models lists the loaded models as name@version.
	Models []string `json:"models,omitempty"`
}

// State is the state of an EngineTable for state dumps.
type State struct {
	Engines []EngineState `json:"engines"`
	// UnmetPrefill and UnmetDecode are the rates of work that this instance held back, refused or sent to another
	// region because the engines lacked capacity, in tokens/s.
	UnmetPrefill float64 `json:"unmet_prefill_tokens_per_second"`
	UnmetDecode  float64 `json:"unmet_decode_tokens_per_second"`
}

// State returns the state of the table.
func (t *EngineTable) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unmet.decay(now)
	s := State{UnmetPrefill: t.unmet.prefill, UnmetDecode: t.unmet.decode}
	for _, u := range t.engines {
		s.Engines = append(s.Engines, t.engineState(now, u))
	}
	return s
}

func (t *EngineTable) engineState(now time.Time, u *upstream) EngineState {
	_, stay, step := t.batchTimes(u)
	e := u.estimate(now, 0, stay, step)
	s := EngineState{
		ID: u.cfg.ID, Region: u.cfg.Region, Local: u.local,
		Available: u.available(now), Leaving: u.leaving, Planned: now.Before(u.plannedUntil),
		WaitingTokens: e.waitingTokens, Running: e.running, MaxRunning: e.maxRunning, PrefillRate: e.prefillRate,
		PrefillPerArrival: u.prefillTokens.valueOr(0), DecodePerArrival: u.outputTokens.valueOr(0), OwnInFlight: len(u.inFlight), KnownBlocks: u.prefixes.size(now),
	}
	if !u.fresh(now) {
		return s
	}
	s.Reported = true
	s.Role = RoleOf(u.load.Role)
	s.Leaving = s.Leaving || u.load.Draining
	s.ReportAge = now.Sub(u.loadAt).Seconds()
	s.Waiting = int(u.load.Waiting)
	s.ArrivalRate = float64(u.load.ArrivalsMilli) / 1000
	s.StepSeconds = float64(u.load.StepMicros) / 1e6
	s.DecodeRate = t.decodeRate(u.load.Role, e.maxRunning)
	for _, index := range u.load.Models {
		if int(index) < len(t.versions) {
			s.Models = append(s.Models, t.versions[index])
		}
	}
	return s
}

// decodeRate returns the output of a role's largest batch that meets the target, in tokens/s.
func (t *EngineTable) decodeRate(role uint32, maximum float64) float64 {
	steps := t.stepModel(role)
	prefilling := 0.0
	if role == roleMixed {
		prefilling = 1 // prompts are processed along with the batch
	}
	batch := maximum
	if slope := steps.theta[1]; slope > 0 {
		batch = min(batch, max(1, (t.target.between-steps.predict(0, prefilling))/slope))
	}
	return batch / steps.predict(batch, prefilling)
}
