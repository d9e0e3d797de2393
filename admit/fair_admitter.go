package admit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// While requests are refused as too late or held back, the usable share of the capacity shrinks by usableCut every
	// usableInterval; otherwise it grows by usableGain a second. The engines of one role can be full while others are
	// not, so the number of engines alone does not show how much work they can do.
	usableInterval = 500 * time.Millisecond
	usableCut      = 0.05
	usableGain     = 0.02
	// rampTime is the time from the end of an outage until the whole capacity is admitted again, rampStartShare the
	// share that is admitted at first. Callers retry what failed, so the work of the whole outage can arrive at once.
	rampTime       = 10 * time.Second
	rampStartShare = 0.25
	// minUsable is the least usable share of the capacity.
	minUsable = 0.5
	// idleTimeout is the time after which a workspace without requests is forgotten.
	idleTimeout = time.Minute
	// minWeight and minCost replace missing values, which would cause divisions by zero.
	minWeight = 0.01
	minCost   = 0.001
)

// FairAdmitter admits requests that can finish in time. While more work is offered than the engines can do, it divides
// the capacity between workspaces by weight; otherwise it sets no limits. It is safe for concurrent use.
type FairAdmitter struct {
	mu              sync.Mutex
	capacity        float64 // engine seconds per second; 0 means unknown or none
	outage          bool
	rampStartedAt   time.Time // end of the last outage
	rampBucket      account   // token bucket of all workspaces during the ramp
	usable          float64   // share of the capacity that can be used, 0 to 1
	usableChangedAt time.Time // last change of usable
	accounts        map[string]*account
	total           account // offered work of all workspaces
	admitted        account // admitted work of all workspaces
	sweptAt         time.Time
}

var _ Admitter = (*FairAdmitter)(nil)

// NewFairAdmitter returns an admitter that sets no limits until its capacity is known.
func NewFairAdmitter() *FairAdmitter {
	return &FairAdmitter{accounts: make(map[string]*account), usable: 1}
}

// SetCapacity sets the work that this instance may admit: the number of engines that it can use, divided by the number
// of instances that share them. Zero means an outage; after it, the admitted work grows from a quarter of the capacity
// to all of it.
func (f *FairAdmitter) SetCapacity(now time.Time, engines float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if engines > 0 && f.outage {
		f.rampStartedAt, f.rampBucket = now, account{}
	}
	f.outage = engines <= 0
	f.capacity = max(engines, 0)
}

// Admit returns a function to be called when the request has ended, or ErrTooLate or ErrOverShare.
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
	a := f.account(req)
	cost := max(req.Cost, minCost)
	a.addOffered(now, cost)
	f.total.addOffered(now, cost)
	if late {
		f.shrinkUsable(now)
		return nil, ErrTooLate
	}
	if limit, limited := f.limit(now); limited {
		if !a.take(now, f.rate(now, a, limit), cost) {
			return nil, ErrOverShare
		}
		if f.isRamping(now) && !f.rampBucket.take(now, limit, cost) {
			return nil, ErrOverShare
		}
	} else {
		a.refilledAt = time.Time{}
	}
	f.admitted.addOffered(now, cost)
	return func(time.Time) {}, nil
}

// RecordTooLate records that routing refused a request as too late.
func (f *FairAdmitter) RecordTooLate(now time.Time, req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.account(req).addOffered(now, max(req.Cost, minCost))
	f.total.addOffered(now, max(req.Cost, minCost))
	f.shrinkUsable(now)
}

// RecordHeldBack records that routing holds a request back, which means that there is more work than can be done in
// time.
func (f *FairAdmitter) RecordHeldBack(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shrinkUsable(now)
}

// shrinkUsable reduces the usable share of the capacity, at most once every usableInterval.
func (f *FairAdmitter) shrinkUsable(now time.Time) {
	if f.growUsable(now); now.Sub(f.usableChangedAt) < usableInterval {
		return
	}
	f.usable, f.usableChangedAt = max(minUsable, f.usable*(1-usableCut)), now
}

// growUsable increases the usable share of the capacity for the time without signs of overload.
func (f *FairAdmitter) growUsable(now time.Time) {
	if since := now.Sub(f.usableChangedAt); since > 2*usableInterval {
		f.usable = min(1, f.usable+usableGain*(since-usableInterval).Seconds())
		f.usableChangedAt = now.Add(-usableInterval)
	}
}

// account returns the account of the request's workspace with the request's weight.
func (f *FairAdmitter) account(req *Request) *account {
	a := f.accounts[req.Workspace]
	if a == nil {
		a = &account{}
		f.accounts[req.Workspace] = a
	}
	a.weight = max(req.Weight, minWeight)
	return a
}

// limit returns the rate of work to divide between workspaces, and false while no division is necessary.
func (f *FairAdmitter) limit(now time.Time) (float64, bool) {
	f.total.decay(now)
	f.admitted.decay(now)
	if f.isRamping(now) {
		progress := now.Sub(f.rampStartedAt).Seconds() / rampTime.Seconds()
		return f.capacity * (rampStartShare + (1-rampStartShare)*progress), true
	}
	f.growUsable(now)
	limit := f.usable * f.capacity
	return limit, f.capacity > 0 && f.total.offered > limit
}

func (f *FairAdmitter) isRamping(now time.Time) bool {
	return !f.rampStartedAt.IsZero() && now.Sub(f.rampStartedAt) < rampTime
}

// rate returns the workspace's share of the limit.
func (f *FairAdmitter) rate(now time.Time, a *account, limit float64) float64 {
	claimants := make([]claimant, 0, len(f.accounts))
	for _, name := range slices.Sorted(maps.Keys(f.accounts)) { // a fixed order, because it affects how sums are rounded
		other := f.accounts[name]
		other.decay(now)
		claimants = append(claimants, claimant{other.weight, other.offered})
	}
	return a.weight * waterLevel(limit, claimants)
}

// sweep deletes the accounts of workspaces without requests for idleTimeout, so that memory use depends only on the
// active ones.
func (f *FairAdmitter) sweep(now time.Time) {
	if now.Sub(f.sweptAt) < idleTimeout {
		return
	}
	f.sweptAt = now
	for name, a := range f.accounts {
		if now.Sub(a.decayedAt) > idleTimeout {
			delete(f.accounts, name)
		}
	}
}

// State is the state of the admitter for state dumps. Rates are in engine seconds per second.
type State struct {
	Capacity float64 `json:"capacity"`
	// Usable is the share of the capacity that can be used, 0 to 1.
	Usable float64 `json:"usable"`
	// Limited is set while the capacity is divided between workspaces.
	Limited  bool    `json:"limited"`
	Offered  float64 `json:"offered"`
	Admitted float64 `json:"admitted"`
	// Workspaces holds the rate of offered work of each workspace.
	Workspaces map[string]float64 `json:"workspaces"`
}

// State returns the state of the admitter.
func (f *FairAdmitter) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, limited := f.limit(now)
	s := State{
		Capacity: f.capacity, Usable: f.usable, Limited: limited, Offered: f.total.offered, Admitted: f.admitted.offered,
		Workspaces: make(map[string]float64, len(f.accounts)),
	}
	for name, a := range f.accounts {
		a.decay(now)
		s.Workspaces[name] = a.offered
	}
	return s
}
