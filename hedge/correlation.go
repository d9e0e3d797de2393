package hedge

import (
	"math"
	"time"
)

const (
	// correlationGain is the weight of one second attempt in the ratio.
	correlationGain = 0.1
	// correlationDecay is the time constant with which the ratio returns to 1, so that second attempts are tried again.
	correlationDecay = 30 * time.Second
	// maxCorrelation bounds one measurement.
	maxCorrelation = 10.0
)

// correlation estimates how much longer second attempts take than the mean response time. If requests are slow because
// of their own work, their second attempts are as slow, and sending them gains nothing.
type correlation struct {
	excess float64 // of the ratio over 1
	at     time.Time
}

// observe records the time of a second attempt and the time that was expected without correlation.
func (c *correlation) observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	excess := c.current(now)
	measured := min(maxCorrelation, float64(took)/float64(expected)) - 1
	c.excess, c.at = excess+(measured-excess)*correlationGain, now
}

// ratio returns the estimate, at least 1.
func (c *correlation) ratio(now time.Time) float64 { return 1 + math.Max(0, c.current(now)) }

func (c *correlation) current(now time.Time) float64 {
	return c.excess * math.Exp(-now.Sub(c.at).Seconds()/correlationDecay.Seconds())
}
