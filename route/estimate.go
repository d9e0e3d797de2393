package route

import "time"

// Defaults for engines that have not reported yet.
const (
	defaultPrefillRate = 20000.0 // tokens/s, as config.Model
	defaultMaxRunning  = 32
)

// estimate is the expected state of an engine at a given time.
type estimate struct {
	waiting float64 // prompt tokens not yet processed
	running float64
	maximum float64
	rate    float64 // prompt tokens/s
	busy    float64 // share of time spent on prompts, 0 to 1
	// doubt is the time by which the waiting time may be wrong, in seconds: the work that others may have sent.
	doubt float64
}

// estimate adds to the report what this instance has sent since and what the others are expected to have sent.
func (u *upstream) estimate(now time.Time, modelRate float64) estimate {
	e := estimate{rate: modelRate, maximum: defaultMaxRunning}
	if e.rate <= 0 {
		e.rate = defaultPrefillRate
	}
	own := u.ownRate(now)
	if !u.fresh(now) {
		for _, l := range u.legs {
			e.add(l)
		}
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
	expected := others * age * u.prefills.or(0)
	e.waiting = float64(u.load.WaitingTokens) + expected
	e.running = float64(u.load.Running) - float64(len(u.ended))
	for _, l := range u.legs {
		if l.sent.After(u.loadAt) {
			e.add(l)
		}
	}
	e.waiting = max(0, e.waiting-e.rate*age)
	e.running = max(0, e.running)
	e.busy = min(1, (others+own)*u.prefills.or(0)/e.rate)
	e.doubt = expected / e.rate
	return e
}

func (e *estimate) add(l leg) {
	e.waiting += l.prefillTokens
	if l.decodes {
		e.running++
	}
}
