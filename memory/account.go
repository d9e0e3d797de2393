package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Account counts the bytes that an instance holds for requests. It is safe for concurrent use. No other lock is taken
// while its lock is held.
type Account struct {
	bounds Bounds

	mu       sync.Mutex
	held     int64
	peak     int64
	refused  int64
	ended    int64
	holdings map[*Holding]struct{}
	freed    freedMeter
	// changed is closed when bytes become free; nil while no request waits for that.
	changed chan struct{}
}

// NewAccount returns an account in which nothing is held. Without bounds it only counts.
func NewAccount(bounds Bounds) *Account {
	return &Account{bounds: bounds, holdings: make(map[*Holding]struct{})}
}

// Bounds returns the bounds of the account.
func (a *Account) Bounds() Bounds { return a.bounds }

// Begin returns the holding of a new request. Its End must be called.
func (a *Account) Begin() *Holding {
	h := &Holding{account: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdings[h] = struct{}{}
	return h
}

// Held returns the number of bytes held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// State is an account's part of the state dump.
type State struct {
	Bounds Bounds `json:"bounds"`
	Held   int64  `json:"held"`
	Peak   int64  `json:"peak"`
	// Requests is the number of requests in flight, Stalled those whose caller makes no progress.
	Requests int `json:"requests"`
	Stalled  int `json:"stalled"`
	// Refused counts the bodies that found no room, Ended the callers that were ended.
	Refused int64 `json:"refused"`
	Ended   int64 `json:"ended"`
}

// State returns what is held.
func (a *Account) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{Bounds: a.bounds, Held: a.held, Peak: a.peak, Requests: len(a.holdings), Refused: a.refused, Ended: a.ended}
	for h := range a.holdings {
		if h.stalled(now) >= ProgressTime {
			s.Stalled++
		}
	}
	return s
}

// reserve adds n bytes to a holding, or returns an error and ends callers that make no progress.
func (a *Account) reserve(now time.Time, h *Holding, purpose Purpose, n int64) error {
	a.mu.Lock()
	result := decide(a.bounds, purpose, a.held, h.bytes, n)
	if result == granted {
		a.add(now, h, n)
		a.mu.Unlock()
		return nil
	}
	if purpose == Body {
		a.refused++
	}
	if result == neverFits {
		a.mu.Unlock()
		return errors.Wrapf(ErrNoRoom, "%d bytes for one request", n)
	}
	missing := max(a.held+n-limitFor(a.bounds, purpose, n), 1)
	err := &FullError{Wanted: n, Held: a.held, Missing: missing, RoomIn: roomTime(missing, a.freed.perSecond(now))}
	victims, enough := a.chooseVictims(now, missing, h)
	if enough {
		err.RoomIn = 0 // what the ended callers hold is free in milliseconds
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.interrupt()
	}
	return err
}

// chooseVictims marks and returns the holdings to end; h is not one of them. enough reports whether the callers that were
// ended, now or before, hold the missing bytes.
func (a *Account) chooseVictims(now time.Time, missing int64, h *Holding) (victims []*Holding, enough bool) {
	holdings, callers := make([]*Holding, 0, len(a.holdings)), make([]caller, 0, len(a.holdings))
	for other := range a.holdings {
		if other != h && other.bytes > 0 && (other.ended || other.stalled(now) >= ProgressTime) {
			holdings = append(holdings, other)
			callers = append(callers, caller{held: other.bytes, stalled: other.stalled(now), ending: other.ended})
		}
	}
	for _, i := range choose(callers, missing) {
		v := holdings[i]
		v.ended, v.endedAfter, v.endedHolding = true, callers[i].stalled, v.bytes
		a.ended++
		victims = append(victims, v)
	}
	for i, other := range holdings {
		if other.ended {
			missing -= callers[i].held
		}
	}
	return victims, missing <= 0
}

// add adds n bytes, which may be negative. After the end of the holding it does nothing: End has given everything back, but
// a cancelled attempt may end after its request.
func (a *Account) add(now time.Time, h *Holding, n int64) {
	if h.over {
		return
	}
	h.bytes += n
	a.held += n
	a.peak = max(a.peak, a.held)
	if n >= 0 {
		return
	}
	a.freed.add(now, -n)
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// change returns a channel that is closed when bytes become free.
func (a *Account) change() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}
