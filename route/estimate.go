package route

import (
	"math"
	"time"
)

// Defaults for engines without a load report.
const (
	defaultPrefillRate = 20000.0 // tokens/s, the default of config.Model
	defaultMaxRunning  = 32
)

// minOwnShare is the least ownShare, so that an instance that sends few requests to an engine does not stop using it.
const minOwnShare = 0.05

// estimate is the expected state of an engine at a given time.
type estimate struct {
	waitingTokens float64 // prompt tokens not yet processed
	running       float64 // requests in the batch
	maxRunning    float64 // batch slots
	prefillRate   float64 // prompt tokens/s
	prefillShare  float64 // share of time spent on prefill, 0 to 1
	// uncertainty is the possible error of the queueing delay in seconds: the work that other instances may have sent.
	uncertainty float64
	ownShare    float64 // this instance's share of the arrivals, 0 to 1
}

// estimate returns the expected state: the load report with the work that this instance has sent since and that other
// instances are expected to have sent. stay is the mean time of a request in the batch and step the time between two
// tokens, in seconds.
func (u *upstream) estimate(now time.Time, modelRate, stay, step float64) estimate {
	e := estimate{prefillRate: modelRate, maxRunning: defaultMaxRunning, ownShare: 1}
	if e.prefillRate <= 0 {
		e.prefillRate = defaultPrefillRate
	}
	own := u.ownSendRate(now)
	if !u.fresh(now) {
		e.add(u.sentAfter(time.Time{}))
		e.prefillShare = min(1, own*u.prefillTokens.valueOr(0)/e.prefillRate)
		return e
	}
	if u.load.PrefillTokensPerSecond > 0 {
		e.prefillRate = float64(u.load.PrefillTokensPerSecond)
	}
	if u.load.MaxRunning > 0 {
		e.maxRunning = float64(u.load.MaxRunning)
	}
	age := max(0, now.Sub(u.loadAt).Seconds())
	others := max(0, float64(u.load.ArrivalsMilli)/1000-own)
	if others > 0 {
		e.ownShare = max(minOwnShare, own/(own+others))
	}
	expected := others * age * u.prefillTokens.valueOr(0)
	e.waitingTokens = float64(u.load.WaitingTokens) + expected
	e.running = float64(u.load.Running) - float64(len(u.endedDecodes))
	if u.load.Role != rolePrefill {
		e.running += float64(u.load.Waiting) // queued requests will take batch slots
	}
	e.add(u.sentAfter(u.loadAt))
	e.waitingTokens = max(0, e.waitingTokens-e.prefillRate*age)
	if u.load.Role != rolePrefill && others > 0 {
		// The part of the batch that other instances sent moves towards the size at which as many requests arrive as
		// finish.
		equilibrium := (others + own) * u.outputTokens.valueOr(0) * step
		e.running += (equilibrium - e.running) * (1 - math.Exp(-age/max(stay, step))) * others / (others + own)
	}
	e.running = max(0, e.running)
	e.prefillShare = min(1, (others+own)*u.prefillTokens.valueOr(0)/e.prefillRate)
	e.uncertainty = expected / e.prefillRate
	return e
}

// sentAfter sums this instance's in-flight work that was sent after a time. The sums are integers, so they do not
// depend on the iteration order of the map.
func (u *upstream) sentAfter(at time.Time) (tokens, decodes int) {
	for _, work := range u.inFlight {
		if !work.sent.After(at) {
			continue
		}
		tokens += work.prefillTokens
		if work.decodes {
			decodes++
		}
	}
	return tokens, decodes
}

func (e *estimate) add(tokens, decodes int) {
	e.waitingTokens += float64(tokens)
	e.running += float64(decodes)
}
