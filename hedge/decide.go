// Package hedge decides when a second attempt of an idempotent request is sent to another replica beside the first one
// (a hedged request). It addresses slow answers of single replicas: some work takes several times the usual time, and
// neighbours on a replica's machine slow it down for some hundred milliseconds. Decide is pure; Service holds what an
// instance has measured for one service, and the limit that the operator has set.
package hedge

import "time"

const (
	// minMeasured is the number of response times from which the distribution is used.
	minMeasured = 100
	// MaxLoad is the part of the service's slots up to which second attempts are sent. A higher load makes queues, in
	// which second attempts delay the first attempts of other requests.
	MaxLoad = 0.75
	// scarcity raises the bar for a second attempt as the limit is used up: just below the limit, the remaining time
	// must be 1 + scarcity times that of a fresh attempt. The slowest requests then get the last second attempts.
	scarcity = 2.0
	// minAskAgain is the shortest time after which a decision is repeated.
	minAskAgain = 10 * time.Millisecond
)

// Input is what the decision about one request depends on.
type Input struct {
	Now, Sent, Deadline time.Time
	// Running is the outlook of the replica that runs the first attempt, Fresh that of the replica which would get the
	// second one.
	Running, Fresh Outlook
	// Times are the measured response times of the service, Correlation how much longer second attempts took.
	Times       *Distribution
	Correlation float64
	// Load is the part of the slots of the service's replicas that is in use.
	Load float64
	// Spent is the part of the operator's limit that would be used with this second attempt.
	Spent float64
	// BudgetLeft reports whether the retry budget has room for a second attempt.
	BudgetLeft bool
	// Started counts the attempts that may have run, including the running one. MaxAttempts bounds it; zero means no
	// bound.
	Started, MaxAttempts int
	Suspect, CallerLeft  bool
	// Recheck is the longest time until the decision is repeated because the factors may have changed; zero means that
	// they do not change.
	Recheck time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	// Send says that a second attempt should be sent now.
	Send bool
	// Again is when to decide again; zero means never.
	Again time.Time
	// Denied is the reason if Send is false.
	Denied Reason
	// Elapsed is how long the first attempt has run, Remaining its expected remaining time and Fresh the expected time of
	// a second attempt.
	Elapsed, Remaining, Fresh time.Duration
}

// Decide decides whether a second attempt is sent now: if the first attempt is expected to need longer than a fresh one,
// given how long it has run, and the conditions of the service and the request allow it.
func Decide(in *Input) Decision {
	d := Decision{Elapsed: in.Now.Sub(in.Sent)}
	switch {
	case in.CallerLeft:
		return d.never(CallerLeft)
	case in.Suspect:
		return d.never(Suspect)
	case in.MaxAttempts > 0 && in.Started >= in.MaxAttempts:
		return d.never(Attempts)
	case in.Times.Count() < minMeasured:
		return d.never(Unmeasured)
	}
	d.Fresh = in.Fresh.Wait + time.Duration(in.Fresh.Factor*in.Correlation*float64(in.Times.Mean()))
	d.Remaining = max(0, in.Running.Wait-d.Elapsed) + time.Duration(in.Running.Factor*float64(in.Times.Remaining(in.Running.work(d.Elapsed))))
	bar := time.Duration(float64(d.Fresh) * (1 + scarcity*min(1, in.Spent)))
	again := in.Now.Add(max(minAskAgain, d.Fresh/4))
	switch {
	case in.Now.Add(d.Fresh).After(in.Deadline):
		return d.never(Deadline)
	case d.Remaining <= bar:
		again = in.Sent.Add(in.dueAfter(d.Elapsed, bar))
		if in.Recheck > 0 && again.After(in.Now.Add(in.Recheck)) {
			again = in.Now.Add(in.Recheck)
		}
		return d.later(Early, again, in.Deadline)
	case in.Load >= MaxLoad:
		return d.later(Capacity, again, in.Deadline)
	case in.Spent > 1:
		return d.later(Share, again, in.Deadline)
	case !in.BudgetLeft:
		return d.later(RetryBudget, again, in.Deadline)
	}
	d.Send = true
	return d
}

// dueAfter returns the time since the first attempt was sent at which its expected remaining time exceeds bar if nothing
// changes. It is at least minAskAgain after elapsed.
func (in *Input) dueAfter(elapsed, bar time.Duration) time.Duration {
	age := in.Times.FirstAgeAbove(in.Running.work(elapsed), time.Duration(float64(bar)/in.Running.Factor))
	return max(elapsed+minAskAgain, in.Running.Wait+time.Duration(float64(age)*in.Running.PastFactor))
}

func (d Decision) never(reason Reason) Decision {
	d.Denied = reason
	return d
}

// later returns the decision to ask again at a time, unless a fresh attempt would be too late by then.
func (d Decision) later(reason Reason, again, deadline time.Time) Decision {
	d.Denied = reason
	if !again.Add(d.Fresh).After(deadline) {
		d.Again = again
	}
	return d
}
