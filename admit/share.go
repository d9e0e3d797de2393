package admit

import (
	"math"
	"time"
)

// share is the account of one workspace. Costs are in seconds of one engine.
type share struct {
	weight  float64
	offered float64 // rate of offered cost, decaying
	at      time.Time
	bucket  float64 // cost that may start now; can become negative by one request
	filled  time.Time
}

// offeredMemory is the time constant of the offered rate: long enough to smooth single requests, short enough to give
// a share back within seconds.
const offeredMemory = 3 * time.Second

func (s *share) offer(now time.Time, cost float64) {
	s.decay(now)
	s.offered += cost / offeredMemory.Seconds()
}

func (s *share) decay(now time.Time) {
	if dt := now.Sub(s.at); dt > 0 {
		s.offered *= math.Exp(-dt.Seconds() / offeredMemory.Seconds())
		s.at = now
	}
}

// bucketTime is how many seconds of its rate a workspace may use at once.
const bucketTime = 1.0

// take refills the bucket at the given rate and takes the cost if the bucket is not empty.
func (s *share) take(now time.Time, rate, cost float64) bool {
	if s.filled.IsZero() {
		s.bucket = rate * bucketTime
	} else {
		s.bucket = min(rate*bucketTime, s.bucket+rate*now.Sub(s.filled).Seconds())
	}
	s.filled = now
	if s.bucket <= 0 {
		return false
	}
	s.bucket -= cost
	return true
}
