package admit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// While requests are refused as too late or held back, the usable part of the capacity shrinks by usableCut each
	// usableStep; otherwise it grows by usableGain a second. The engines of one role can be full while others are not,
	// so the number of engines alone does not tell what can be done.
	usableStep = 500 * time.Millisecond
	usableCut  = 0.05
	usableGain = 0.02
	// rampTime is the time from the end of an outage until the whole capacity is used again, rampStart its first share.
	// Callers repeat what failed, so the work of the whole outage can arrive at once.
	rampTime  = 10 * time.Second
	rampStart = 0.25
	// floor bounds the usable part from below.
	floor = 0.5
	// idleTime is the time after which a workspace without requests is forgotten.
	idleTime = time.Minute
	// minWeight and minCost keep a missing value from a division by zero.
	minWeight = 0.01
	minCost   = 0.001
)

// FairAdmitter admits requests that can finish in time. While there is more work than the engines can do, it divides the
// capacity between workspaces by weight; otherwise it sets no limits. It is safe for concurrent use.
type FairAdmitter struct {
	mu       sync.Mutex
	capacity float64 // seconds of one engine for each second; 0 means unknown or none
	outage   bool
	ramp     time.Time // start of the ramp after an outage
	ramping  share     // bucket of all workspaces during the ramp
	usable   float64   // part of the capacity that can be used, 0 to 1
	adapted  time.Time // last change of usable
	shares   map[string]*share
	total    share // all that was offered
	admitted share // all that was admitted
	swept    time.Time
}

var _ Admitter = (*FairAdmitter)(nil)

// NewFairAdmitter returns an admitter without known capacity.
func NewFairAdmitter() *FairAdmitter {
	return &FairAdmitter{shares: make(map[string]*share), usable: 1}
}

// SetCapacity sets the work that this instance may admit: the number of engines that it can use, divided by the number
// of instances that share them. Zero means an outage; after it, the admitted work grows from a quarter of the capacity.
func (f *FairAdmitter) SetCapacity(now time.Time, engines float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if engines > 0 && f.outage {
		f.ramp, f.ramping = now, share{}
	}
	f.outage = engines <= 0
	f.capacity = max(engines, 0)
}

// Admit returns a function to call when the request has ended, or ErrTooLate or ErrOverShare.
func (f *FairAdmitter) Admit(now time.Time, req *Request) (func(time.Time), error) {
	late := !req.Deadline.IsZero() && req.EstimatedFinish.After(req.Deadline)
	if req.Cost == 0 {
		if late {
			return nil, ErrTooLate
		}
		return func(time.Time) {}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sweep(now)
	s := f.share(req)
	cost := max(req.Cost, minCost)
	s.offer(now, cost)
	f.total.offer(now, cost)
	if late {
		f.press(now)
		return nil, ErrTooLate
	}
	if limit, limited := f.limit(now); limited {
		if !s.take(now, f.rate(now, s, limit), cost) {
			return nil, ErrOverShare
		}
		if f.isRamping(now) && !f.ramping.take(now, limit, cost) {
			return nil, ErrOverShare
		}
	} else {
		s.filled = time.Time{}
	}
	f.admitted.offer(now, cost)
	return func(time.Time) {}, nil
}

// RecordTooLate tells the admitter that routing refused a request as too late.
func (f *FairAdmitter) RecordTooLate(now time.Time, req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share(req).offer(now, max(req.Cost, minCost))
	f.total.offer(now, max(req.Cost, minCost))
	f.press(now)
}

// RecordHeldBack tells the admitter that routing holds a request back, which means that there is more work than can be done
// in time.
func (f *FairAdmitter) RecordHeldBack(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.press(now)
}

func (f *FairAdmitter) press(now time.Time) {
	if f.relax(now); now.Sub(f.adapted) < usableStep {
		return
	}
	f.usable, f.adapted = max(floor, f.usable*(1-usableCut)), now
}

// relax lets the usable part grow for the time without pressure.
func (f *FairAdmitter) relax(now time.Time) {
	if since := now.Sub(f.adapted); since > 2*usableStep {
		f.usable = min(1, f.usable+usableGain*(since-usableStep).Seconds())
		f.adapted = now.Add(-usableStep)
	}
}

func (f *FairAdmitter) share(req *Request) *share {
	s := f.shares[req.Workspace]
	if s == nil {
		s = &share{}
		f.shares[req.Workspace] = s
	}
	s.weight = max(req.Weight, minWeight)
	return s
}

// limit returns the capacity to divide, and false while there is no need to.
func (f *FairAdmitter) limit(now time.Time) (float64, bool) {
	f.total.decay(now)
	f.admitted.decay(now)
	if f.isRamping(now) {
		progress := now.Sub(f.ramp).Seconds() / rampTime.Seconds()
		return f.capacity * (rampStart + (1-rampStart)*progress), true
	}
	f.relax(now)
	limit := f.usable * f.capacity
	return limit, f.capacity > 0 && f.total.offered > limit
}

func (f *FairAdmitter) isRamping(now time.Time) bool {
	return !f.ramp.IsZero() && now.Sub(f.ramp) < rampTime
}

// rate returns the workspace's part of the limit.
func (f *FairAdmitter) rate(now time.Time, s *share, limit float64) float64 {
	claimants := make([]claimant, 0, len(f.shares))
	for _, name := range slices.Sorted(maps.Keys(f.shares)) { // the order decides how sums are rounded
		other := f.shares[name]
		other.decay(now)
		claimants = append(claimants, claimant{other.weight, other.offered})
	}
	return s.weight * level(limit, claimants)
}

// sweep forgets workspaces that have sent nothing for a while, so that memory follows the active ones.
func (f *FairAdmitter) sweep(now time.Time) {
	if now.Sub(f.swept) < idleTime {
		return
	}
	f.swept = now
	for name, s := range f.shares {
		if now.Sub(s.at) > idleTime {
			delete(f.shares, name)
		}
	}
}

// State is a dump of the admitter. Rates are in seconds of one engine for each second.
type State struct {
	Capacity float64 `json:"capacity"`
	// Usable is the part of the capacity that can be used, 0 to 1.
	Usable     float64            `json:"usable"`
	Limited    bool               `json:"limited"`
	Offered    float64            `json:"offered"`
	Admitted   float64            `json:"admitted"`
	Workspaces map[string]float64 `json:"workspaces"`
}

// State returns a dump of the admitter.
func (f *FairAdmitter) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, limited := f.limit(now)
	s := State{
		Capacity: f.capacity, Usable: f.usable, Limited: limited, Offered: f.total.offered, Admitted: f.admitted.offered,
		Workspaces: make(map[string]float64, len(f.shares)),
	}
	for name, share := range f.shares {
		share.decay(now)
		s.Workspaces[name] = share.offered
	}
	return s
}
