package place

import "time"

// replicaLimit enforces this instance's share of a replica's limit.
type replicaLimit struct {
	perSecond float64 // of the replica, for all instances together
	share     limitShare
	// tokens is the number of requests that may be sent. It is negative after requests that had to be sent.
	tokens  float64
	at      time.Time // of tokens
	namedAt time.Time // when the replica named its first limit
	divided time.Time // when share was computed
}

// setShare applies a newly computed share.
func (l *replicaLimit) setShare(now time.Time, share limitShare) {
	l.refill(now)
	l.share, l.divided = share, now
}

func (l *replicaLimit) refill(now time.Time) {
	most := max(1, l.share.rate*burstTime.Seconds())
	l.tokens = min(most, l.tokens+l.share.rate*max(0, now.Sub(l.at).Seconds()))
	l.at = now
}

// wait returns how long the instance must not send a request to the replica.
func (l *replicaLimit) wait(now time.Time) time.Duration {
	l.refill(now)
	wait := time.Duration(0)
	if l.tokens < 1 {
		wait = time.Duration((1 - l.tokens) / l.share.rate * float64(time.Second))
	}
	if l.share.every > 0 {
		phase := (time.Duration(now.UnixNano()) - l.share.turn) % l.share.every
		if phase >= occasionalWindow {
			wait = max(wait, l.share.every-phase)
		}
	}
	return wait
}

// take takes one request from the share.
func (l *replicaLimit) take(now time.Time) {
	l.refill(now)
	l.tokens--
}
