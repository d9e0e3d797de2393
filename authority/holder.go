package authority

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

const (
	// leaseTTL is the time to live of the authority's lease. A region is without a holder for at most about this long.
	leaseTTL = 10 * time.Second
	// keepAliveInterval leaves time for two more attempts before the lease expires. A keep-alive is one store call in
	// each region.
	keepAliveInterval = 3 * time.Second
	// retryPause is the wait after a failed store or peer call.
	retryPause = time.Second
	// watchWait is how long one watch call of a candidate waits. Each counts as one store call.
	watchWait = 10 * time.Second
	// watchTimeout bounds a watch call, also one whose connection no longer carries data.
	watchTimeout = 12 * time.Second
	// maxCandidates is the number of instances of a region that campaign. It is bounded so that the number of store
	// calls does not grow with the region.
	maxCandidates = 3
	// standbyPause is how long an instance that is not a candidate waits before it checks again.
	standbyPause = 5 * time.Second
	// reconcileInterval is the interval at which a holder looks for open journal entries, with one list call.
	reconcileInterval = 10 * time.Second
)

// LeaseHolder campaigns for the authority over a region and gives orders to the region's engines while it has the authority.
// It is safe for concurrent use.
type LeaseHolder struct {
	opts    Options
	stats   *stats
	journal journal
	gate    *Gate

	mu       sync.Mutex
	term     *term           // nil while this instance is not the holder
	reserved map[string]bool // engines with an order or a reconciliation in progress
	orders   sync.WaitGroup  // orders and reconciliations in progress
}

// authorityValue is the value of authority/<region>.
type authorityValue struct {
	Instance string `json:"instance"`
	// Nonce distinguishes the campaigns of one process when an ambiguous write is read back.
	Nonce string `json:"nonce"`
}

// NewLeaseHolder returns a Holder. gate is the gate of the same process: when the process becomes the holder, it replaces
// its own gate by another instance's.
func NewLeaseHolder(opts Options, gate *Gate) *LeaseHolder {
	opts = opts.withDefaults()
	return &LeaseHolder{
		opts: opts, stats: newStats(opts.Metrics), journal: journal{opts.Store}, gate: gate,
		reserved: make(map[string]bool),
	}
}

// Run campaigns until the context ends, then waits for orders in flight and releases the lease.
func (h *LeaseHolder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !h.isCandidate() {
			sleep.For(ctx, standbyPause)
			continue
		}
		t, err := h.campaign(ctx)
		if err != nil {
			sleep.For(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		if t == nil {
			h.awaitKeyChange(ctx)
			continue
		}
		h.runTerm(ctx, t)
	}
}

// isCandidate reports whether this instance is one of the maxCandidates instances of its region that campaign, chosen
// by rendezvous hash.
func (h *LeaseHolder) isCandidate() bool {
	self := h.opts.View.Self()
	own, higher := xxhash.Sum64String(self+"/"+h.opts.Region), 0
	for _, m := range h.opts.View.Live() {
		if m.GetRegion() == h.opts.Region && m.GetId() != self && !m.GetLeaving() &&
			xxhash.Sum64String(m.GetId()+"/"+h.opts.Region) > own {
			higher++
		}
	}
	return higher < maxCandidates
}

// campaign tries to create the region's authority key. It returns nil without an error when another instance has
// created it.
func (h *LeaseHolder) campaign(ctx context.Context) (*term, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := h.opts.Store.Get(call, authorityKey(h.opts.Region)); !errors.Is(err, topo.ErrNotFound) {
		return nil, err
	}
	sent := time.Now()
	lease, err := h.opts.Store.Grant(call, leaseTTL)
	if err != nil {
		return nil, errors.Wrap(err, "authority: grant lease")
	}
	fence, err := h.createKey(ctx, lease)
	if err != nil {
		// A write that may still take effect then fails, or creates a key that expires with the lease.
		h.revoke(lease)
		if errors.Is(err, topo.ErrConflict) {
			return nil, nil
		}
		return nil, err
	}
	return newTerm(fence, lease, sent), nil
}

// createKey creates the region's authority key and returns the revision of its creation, which is the fencing token.
func (h *LeaseHolder) createKey(ctx context.Context, lease topo.LeaseID) (int64, error) {
	value, err := json.Marshal(authorityValue{Instance: h.opts.View.Self(), Nonce: uuid.NewString()})
	if err != nil {
		return 0, errors.Wrap(err, "authority: encode key value")
	}
	put, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := authorityKey(h.opts.Region)
	revision, err := h.opts.Store.Put(put, key, value, 0, lease)
	if err == nil || errors.IsAny(err, topo.ErrConflict, topo.ErrUnavailable, topo.ErrRateLimited, topo.ErrLeaseNotFound) {
		return revision, err
	}
	get, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, readErr := h.opts.Store.Get(get, key)
	if readErr != nil || string(entry.Value) != string(value) {
		return 0, errors.Wrapf(err, "authority: create key %s", key)
	}
	return entry.Created, nil
}

func (h *LeaseHolder) revoke(lease topo.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// If the store does not answer, the lease expires.
	_ = h.opts.Store.Revoke(ctx, lease)
}

// awaitKeyChange waits until the region's authority key changes or is deleted, or the watch ends.
func (h *LeaseHolder) awaitKeyChange(ctx context.Context) {
	get, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := h.opts.Store.Get(get, authorityKey(h.opts.Region))
	if err != nil {
		if !errors.Is(err, topo.ErrNotFound) {
			sleep.For(ctx, retryPause)
		}
		return
	}
	watch, cancelWatch := context.WithTimeout(ctx, watchTimeout)
	defer cancelWatch()
	if _, _, err := h.opts.Store.Watch(watch, entry.Key, entry.Revision, watchWait); err != nil {
		sleep.For(ctx, retryPause)
	}
}

// runTerm keeps the lease alive and resolves open journal entries until the term or the context ends. When the context
// ends first, it waits for the orders in progress before it releases the lease.
func (h *LeaseHolder) runTerm(ctx context.Context, t *term) {
	h.stats.terms.Inc(1)
	eventAcquired.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region), slog.Int64("fence", t.fence))
	h.setTerm(t)
	var reconciling sync.WaitGroup
	reconciling.Go(func() { h.reconcileLoop(t) })
	lost := h.keepLease(ctx, t)
	h.setTerm(nil)
	if lost {
		h.stats.lost.Inc(1)
		eventLost.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region), slog.Int64("fence", t.fence))
	} else {
		h.awaitOrders(t)
	}
	t.cancel()
	reconciling.Wait()
	h.orders.Wait()
	// The term may have ended here while the lease, kept alive late, still exists and keeps a successor from
	// campaigning.
	h.revoke(t.lease)
	if !lost {
		eventReleased.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region))
	}
}

// awaitOrders waits for the orders and reconciliations in progress, at most until the term's end.
func (h *LeaseHolder) awaitOrders(t *term) {
	finished := make(chan struct{})
	go func() {
		h.orders.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(time.Until(t.until())):
	}
}

// keepLease sends keep-alives. It returns true when the lease is lost, and false when the context ends first. In that
// case the lease is still valid and the orders in flight may finish.
func (h *LeaseHolder) keepLease(ctx context.Context, t *term) (lost bool) {
	wait := keepAliveInterval
	for {
		if !sleep.For(ctx, min(wait, time.Until(t.until()))) {
			return false
		}
		sent := time.Now()
		if !sent.Before(t.until()) {
			return true
		}
		call, cancel := context.WithTimeout(ctx, min(storeTimeout, time.Until(t.until())))
		err := h.opts.Store.KeepAlive(call, t.lease)
		cancel()
		switch {
		case err == nil:
			t.extend(sent)
			wait = keepAliveInterval
		case errors.Is(err, topo.ErrLeaseNotFound):
			return true
		default:
			wait = retryPause
		}
	}
}

func (h *LeaseHolder) setTerm(t *term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = t
}

// FencingToken returns the fencing token of the current term, and whether this instance is the holder.
func (h *LeaseHolder) FencingToken() (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || !h.term.valid() {
		return 0, false
	}
	return h.term.fence, true
}

// reserveEngine reserves an engine for one order or reconciliation. It returns ErrNotHolder, or ErrBusy if the engine
// is already reserved.
func (h *LeaseHolder) reserveEngine(engineID string) (*term, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || !h.term.valid() {
		return nil, ErrNotHolder
	}
	if h.reserved[engineID] {
		return nil, ErrBusy
	}
	h.reserved[engineID] = true
	h.orders.Add(1)
	return h.term, nil
}

// releaseEngine ends a reservation by reserveEngine.
func (h *LeaseHolder) releaseEngine(engineID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reserved, engineID)
	h.orders.Done()
}
