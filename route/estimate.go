package route

import (
	"math"
	"time"
)

// Defaults for engines that have not reported yet.
const (
	defaultPrefillRate = 20000.0 // tokens/s, as config.Model
	defaultMaxRunning  = 32
)

// minShare keeps an instance that sends little to an engine from never using it.
const minShare = 0.05

// estimate is the expected state of an engine at a given time.
type estimate struct {
	waiting float64 // prompt tokens not yet processed
	running float64
	maximum float64
	rate    float64 // prompt tokens/s
	busy    float64 // share of time spent on prompts, 0 to 1
	// doubt is the time by which the waiting time may be wrong, in seconds: the work that others may have sent.
	doubt float64
	share float64 // own part of the arrivals, 0 to 1
}

// estimate returns the expected state; stay is the mean time of a request in the batch and
// step the time between two tokens, in seconds. It adds to the report what this instance has sent since and what the others are expected to have sent.
func (u *upstream) estimate(now time.Time, modelRate, stay, step float64) estimate {
	e := estimate{rate: modelRate, maximum: defaultMaxRunning, share: 1}
	if e.rate <= 0 {
		e.rate = defaultPrefillRate
	}
	own := u.ownRate(now)
	if !u.fresh(now) {
		e.add(u.sentAfter(time.Time{}))
		e.busy = min(1, own*u.prefills.or(0)/e.rate)
		return e
	}
	if u.load.PrefillTokensPerSecond > 0 {
		e.rate = float64(u.load.PrefillTokensPerSecond)
	}
	if u.load.MaxRunning > 0 {
		e.maximum = float64(u.load.MaxRunning)
	}
	age := max(0, now.Sub(u.loadAt).Seconds())
	others := max(0, float64(u.load.ArrivalsMilli)/1000-own)
	if others > 0 {
		e.share = max(minShare, own/(own+others))
	}
	expected := others * age * u.prefills.or(0)
	e.waiting = float64(u.load.WaitingTokens) + expected
	e.running = float64(u.load.Running) - float64(len(u.ended))
	if u.load.Role != rolePrefill {
		e.running += float64(u.load.Waiting) // they will take a place in the batch
	}
	e.add(u.sentAfter(u.loadAt))
	e.waiting = max(0, e.waiting-e.rate*age)
	if u.load.Role != rolePrefill && others > 0 {
		// The others' part of the batch moves towards the size at which as many requests come as go.
		balance := (others + own) * u.decodes.or(0) * step
		e.running += (balance - e.running) * (1 - math.Exp(-age/max(stay, step))) * others / (others + own)
	}
	e.running = max(0, e.running)
	e.busy = min(1, (others+own)*u.prefills.or(0)/e.rate)
	e.doubt = expected / e.rate
	return e
}

// sentAfter sums the own work sent after a time. Sums of whole numbers do not depend on the order of the map.
func (u *upstream) sentAfter(at time.Time) (tokens, decodes int) {
	for _, l := range u.legs {
		if !l.sent.After(at) {
			continue
		}
		tokens += l.prefillTokens
		if l.decodes {
			decodes++
		}
	}
	return tokens, decodes
}

func (e *estimate) add(tokens, decodes int) {
	e.waiting += float64(tokens)
	e.running += float64(decodes)
}
