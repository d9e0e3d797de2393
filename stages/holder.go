package stages

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/topo"
)

const (
	// leaseTTL is the lease of the authority to give orders.
	leaseTTL = 5 * time.Second
	// renewEvery leaves two more attempts before the lease ends.
	renewEvery = 1500 * time.Millisecond
	// leaseMargin is kept from the end of the lease, for an order that is under way.
	leaseMargin = 1500 * time.Millisecond
	// settleTime passes between getting the authority and the first order. It covers the time in which a former holder
	// whose lease was taken away may not know of that (renewEvery), and the three seconds between the orders of two holders
	// that the platform's rules ask for.
	settleTime = 6 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// authorityKey is created by the holder, attached to its lease. The revision of the creation is the fencing token, so
	// getting the authority and its number is one step.
	authorityKey = "rhubarbpoint/stages"
	// historyKey is written by the first holder ever and stays, so that it need not wait for a former one.
	historyKey = "rhubarbpoint/stages-held"
)

// ErrHeld means that another instance has the authority, to be tested with errors.Is.
var ErrHeld = errors.New("stages: another instance has the authority")

// LeaseHolder gets and keeps the authority to give orders. It is for one goroutine.
//
// Two holders never give orders in turns: the key ends with the lease, a holder stops before its lease can have ended by
// either of its clocks, and a new one waits for settleTime, unless it wrote historyKey: no holder gives orders before it
// knows that this key exists, so there was none before. The time of day counts as well as the steady clock, because the
// steady clock stands still while a machine is suspended; a jump of the time of day only makes a holder stop early.
type LeaseHolder struct {
	store topo.Store
	name  string

	lease    topo.LeaseID
	fence    int64
	acquired time.Time
	renewed  time.Time // when the last successful renewal was sent
	tried    time.Time // when the last renewal was sent
	// recorded says that historyKey exists, first that this holder wrote it.
	recorded, first bool
}

// NewLeaseHolder returns a holder without authority. The name is for operators and need not be unique.
func NewLeaseHolder(store topo.Store, name string) *LeaseHolder {
	return &LeaseHolder{store: store, name: name}
}

// Fence returns the fencing token, 0 without authority.
func (h *LeaseHolder) Fence() int64 { return h.fence }

// MayOrder says whether an order may be given now.
func (h *LeaseHolder) MayOrder(now time.Time) bool {
	return h.fence != 0 && h.recorded && elapsed(h.renewed, now) < leaseTTL-leaseMargin && (h.first || settled(h.acquired, now))
}

// elapsed returns the longer of the times that have passed by the two clocks. It counts a time of day that went back as
// more than any lease.
func elapsed(since, now time.Time) time.Duration {
	steady, day := now.Sub(since), now.Round(0).Sub(since.Round(0))
	if day < 0 {
		return leaseTTL
	}
	return max(steady, day)
}

// settled says whether settleTime has passed by both clocks.
func settled(since, now time.Time) bool {
	return min(now.Sub(since), now.Round(0).Sub(since.Round(0))) >= settleTime
}

// Campaign tries to get the authority. It returns ErrHeld or an error of the store.
func (h *LeaseHolder) Campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	switch _, err := h.store.Get(ctx, authorityKey); {
	case err == nil:
		return ErrHeld
	case !errors.Is(err, topo.ErrNotFound):
		return errors.Wrap(err, "stages: read the authority")
	}
	sent := time.Now()
	lease, err := h.store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Wrap(err, "stages: lease")
	}
	value := []byte(h.name + " " + uuid.NewString())
	revision, err := h.store.Put(ctx, authorityKey, value, 0, lease)
	if err != nil {
		// The write may have been executed, or may be later. Without authority its key ends with the lease, which is not
		// renewed.
		if errors.Is(err, topo.ErrConflict) {
			return ErrHeld
		}
		return errors.Wrap(err, "stages: take the authority")
	}
	now := time.Now()
	h.lease, h.fence, h.acquired, h.renewed, h.tried = lease, revision, now, sent, now
	h.record(ctx)
	return nil
}

// record writes historyKey. After an error the write may have been executed or not, so Renew tries again, and a conflict
// then counts as a former holder.
func (h *LeaseHolder) record(ctx context.Context) {
	_, err := h.store.Put(ctx, historyKey, []byte(h.name), 0, 0)
	h.first = err == nil
	h.recorded = err == nil || errors.Is(err, topo.ErrConflict)
}

// Renew keeps the lease if it is time to. It returns false when the authority is lost.
func (h *LeaseHolder) Renew(ctx context.Context) bool {
	now := time.Now()
	if elapsed(h.renewed, now) >= leaseTTL-leaseMargin {
		h.drop()
		return false
	}
	if now.Sub(h.tried) < renewEvery {
		return true
	}
	h.tried = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !h.recorded {
		h.record(ctx)
	}
	switch err := h.store.KeepAlive(ctx, h.lease); {
	case err == nil:
		h.renewed = now
	case errors.Is(err, topo.ErrLeaseNotFound):
		h.drop()
		return false
	}
	return true
}

// Release gives the authority up.
func (h *LeaseHolder) Release(ctx context.Context) error {
	lease := h.lease
	h.drop()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return errors.Wrap(h.store.Revoke(ctx, lease), "stages: release the authority")
}

func (h *LeaseHolder) drop() { h.lease, h.fence, h.recorded, h.first = 0, 0, false, false }

// campaignPause spreads the campaigns of instances that see the same need.
func campaignPause() time.Duration { return 500*time.Millisecond + rand.N(2*time.Second) }
