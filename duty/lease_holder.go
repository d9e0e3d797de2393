package duty

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/topo"
)

const (
	// leaseTTL is the duration of the lease on the duties.
	leaseTTL = 5 * time.Second
	// renewInterval is the time between renewals. It leaves two more attempts before the lease expires.
	renewInterval = 1500 * time.Millisecond
	// leaseMargin is the time before the end of the lease in which no call is started, for one that is in flight.
	leaseMargin = 1500 * time.Millisecond
	// takeoverDelay is the time between acquiring the lease and the first call. It covers the time in which a former
	// holder whose lease was revoked may not know it yet (renewInterval), and the three seconds that the platform
	// requires between the calls of two holders.
	takeoverDelay = 6 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// authorityKey is created by the holder, attached to its lease. The revision of the creation is the fencing token,
	// so the holder gets the authority and the token in one step.
	authorityKey = "rhubarbpoint/stages"
	// historyKey is written by the first holder ever and is never deleted. Its writer needs no takeoverDelay, because
	// no other holder preceded it, unless the store has been restored from a copy.
	historyKey = "rhubarbpoint/stages-held"
)

// LeaseHolder acquires and renews the lease on the duties. It must be used by one goroutine only.
//
// Calls of two holders never interleave: authorityKey is deleted when the lease expires, a holder stops before its
// lease can have expired by either of its clocks, and a new holder waits for takeoverDelay. A holder that wrote
// historyKey does not wait: no holder makes calls before it knows that this key exists, so nobody made calls before it. Holders check the wall clock as well as the monotonic clock, because the monotonic clock stops while a machine is
// suspended; a jump of the wall clock only makes a holder stop early.
type LeaseHolder struct {
	store topo.Store
	name  string

	lease        topo.LeaseID
	value        []byte    // of authorityKey, unique to the tenure
	renewalTried time.Time // when the last renewal was sent, successful or not
	// uncertain is set while the store, restored from a copy, may have lost authorityKey although it has the lease.
	uncertain bool
	tenure    tenure
}

// NewLeaseHolder returns a holder without a lease. The name is for operators and need not be unique.
func NewLeaseHolder(store topo.Store, name string) *LeaseHolder {
	return &LeaseHolder{store: store, name: name}
}

// Fence returns the fencing token, or 0 without a lease.
func (h *LeaseHolder) Fence() int64 { return h.tenure.fence }

// MayOrder reports whether a call may be made now.
func (h *LeaseHolder) MayOrder(now time.Time) bool { return h.tenure.mayAct(now) }

// Campaign tries to acquire the lease. It returns nil on success, ErrHeld, or an error of the store.
func (h *LeaseHolder) Campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	switch _, err := h.store.Get(ctx, authorityKey); {
	case err == nil:
		return ErrHeld
	case !errors.Is(err, topo.ErrNotFound):
		return errors.Wrap(err, "duty: read the authority key")
	}
	sent := time.Now()
	lease, err := h.store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Wrap(err, "duty: grant a lease")
	}
	value := []byte(h.name + " " + uuid.NewString())
	revision, err := h.store.Put(ctx, authorityKey, value, 0, lease)
	if err != nil {
		// The write may have been executed, or may be executed later. The key is deleted when its lease expires, since
		// nobody renews it.
		if errors.Is(err, topo.ErrConflict) {
			return ErrHeld
		}
		return errors.Wrap(err, "duty: create the authority key")
	}
	now := time.Now()
	h.lease, h.value, h.renewalTried = lease, value, now
	h.tenure = tenure{fence: revision, acquired: now, renewed: sent}
	h.writeHistory(ctx)
	return nil
}

// writeHistory writes historyKey. After an error the write may or may not have been executed, so Renew tries again. A
// conflict then counts as a former holder, even if it stems from this holder's own write. A store that was restored may have
// lost the key together with the lease of a former holder, so its writer does not count as the first holder.
func (h *LeaseHolder) writeHistory(ctx context.Context) {
	revision, err := h.store.Put(ctx, historyKey, []byte(h.name), 0, 0)
	h.tenure.wroteHistory = err == nil && !topo.Restored(revision)
	h.tenure.historyExists = err == nil || errors.Is(err, topo.ErrConflict)
}

// Renew renews the lease when renewInterval has passed. It returns false if the lease is lost.
func (h *LeaseHolder) Renew(ctx context.Context) bool {
	now := time.Now()
	if h.tenure.ended(now) {
		h.reset()
		return false
	}
	if now.Sub(h.renewalTried) < renewInterval {
		return true
	}
	h.renewalTried = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !h.tenure.historyExists {
		h.writeHistory(ctx)
	}
	err := h.store.KeepAlive(ctx, h.lease)
	switch {
	case errors.Is(err, topo.ErrLeaseNotFound):
		h.reset()
		return false
	case errors.Is(err, topo.ErrRestored):
		h.uncertain, err = true, nil
	}
	if err == nil && h.uncertain {
		err = h.findKey(ctx)
	}
	switch {
	case err == nil:
		h.uncertain, h.tenure.renewed = false, now
	case errors.Is(err, ErrHeld):
		h.reset()
		return false
	}
	return true
}

// findKey returns ErrHeld if the store does not have authorityKey as this holder wrote it: then another holder has
// acquired the lease, or can do so.
func (h *LeaseHolder) findKey(ctx context.Context) error {
	entry, err := h.store.Get(ctx, authorityKey)
	if errors.Is(err, topo.ErrNotFound) || err == nil && !bytes.Equal(entry.Value, h.value) {
		return ErrHeld
	}
	return errors.Wrap(err, "duty: read the authority key")
}

// Release revokes the lease. It returns an error of the store, in which case the lease expires by itself.
func (h *LeaseHolder) Release(ctx context.Context) error {
	lease := h.lease
	h.reset()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return errors.Wrap(h.store.Revoke(ctx, lease), "duty: revoke the lease")
}

func (h *LeaseHolder) reset() { h.lease, h.value, h.uncertain, h.tenure = 0, nil, false, tenure{} }
