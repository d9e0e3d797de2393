package hedge

import (
	"sync"
	"time"
)

// Budget is the retry budget that retries and second attempts of a service share. Implementations are safe for
// concurrent use.
type Budget interface {
	// TakePart takes one from the budget if at most the given part of it is used afterwards.
	TakePart(now time.Time, part float64) bool
	// PartLeft reports whether TakePart would succeed.
	PartLeft(now time.Time, part float64) bool
}

// budgetPart is the part of the retry budget that second attempts may use, retries included. The other half is left to
// retries after failures: a retry decides whether the caller gets an answer, a second attempt only how soon. With half
// of a budget of 0.2, the failure of one replica of ten can still be retried.
const budgetPart = 0.5

// Service holds what this instance has measured for one service, and the limit of its second attempts. It is safe for
// concurrent use. The lock of a Budget is taken while its lock is held.
type Service struct {
	mu sync.Mutex
	// times has those of first attempts that were completed, and estimates of those that were cancelled.
	times *latency
	// completed has only those that were completed.
	completed   *latency
	limit       *limiter
	correlation correlation
}

// NewService returns a Service that allows share × requests second attempts in each sliding window.
func NewService(share float64, window time.Duration) *Service {
	return &Service{times: newLatency(), completed: newLatency(), limit: newLimiter(share, window)}
}

// RecordRequest counts a new request.
func (s *Service) RecordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.recordRequest(now)
}

// RecordFirst records the time to the complete response of a first attempt.
func (s *Service) RecordFirst(now time.Time, took time.Duration, o Outlook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.record(now, o.work(took))
	s.completed.record(now, o.work(took))
}

// RecordCancelledFirst records that a first attempt was cancelled after so long. Its expected whole time is recorded:
// without it, the slow responses would vanish from the distribution because of the second attempts. It reports whether
// the attempt had run longer than almost all that were completed, which is a sign that the replica does not respond at all.
func (s *Service) RecordCancelledFirst(now time.Time, after time.Duration, o Outlook) (silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, work := s.times.distribution(now), o.work(after)
	s.times.record(now, work+times.Remaining(work))
	return work > s.completed.distribution(now).Quantile(silentQuantile)
}

// silentQuantile is the part of the completed attempts that a cancelled attempt must have exceeded to count as a sign of a
// silent replica.
const silentQuantile = 0.99

// RecordSecond records how long a second attempt took, or how long it had run when it was cancelled. Second attempts do
// not count in the distribution, since those that win are the faster ones.
func (s *Service) RecordSecond(now time.Time, took time.Duration, cancelled bool, o Outlook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, work := s.times.distribution(now), o.work(took)
	if cancelled {
		work += times.Remaining(work)
	}
	s.correlation.observe(now, work, times.Mean())
}

// Ask decides about a request with the state of the service, and charges the second attempt if it is to be sent. choose
// chooses the replica for it and returns its outlook, or false if there is none; it is called without the lock and only
// if everything else allows a second attempt. The caller fills the fields of in that describe the request and the load.
func (s *Service) Ask(in *Input, budget Budget, choose func() (Outlook, bool)) Decision {
	in.Fresh = Outlook{Factor: 1}
	s.fill(in, budget)
	d := Decide(in)
	if !d.Send {
		return d
	}
	var found bool
	if in.Fresh, found = choose(); !found {
		d.Send = false
		return d.later(NoReplica, in.Now.Add(max(minAskAgain, d.Fresh)), in.Deadline)
	}
	if d = Decide(in); !d.Send {
		return d
	}
	if reason := s.take(in.Now, budget); reason != "" {
		d.Send = false
		return d.later(reason, in.Now.Add(max(minAskAgain, d.Fresh)), in.Deadline)
	}
	return d
}

func (s *Service) fill(in *Input, budget Budget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.Times, in.Correlation = s.times.distribution(in.Now), s.correlation.ratio(in.Now)
	in.Spent, in.BudgetLeft = s.limit.spent(in.Now), budget.PartLeft(in.Now, budgetPart)
}

// take charges a second attempt to the limit and to the retry budget, or returns the reason why it must not be sent.
func (s *Service) take(now time.Time, budget Budget) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.spent(now) > 1 {
		return Share
	}
	if !budget.TakePart(now, budgetPart) {
		return RetryBudget
	}
	s.limit.recordSecond(now)
	return ""
}
