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
	// leaseTTL is the lease of the authority; a region is without a holder for at most about this long.
	leaseTTL = 10 * time.Second
	// keepAliveEvery leaves two more attempts before the lease lapses. It is one store call each, in each region.
	keepAliveEvery = 3 * time.Second
	// retryPause is the wait after a failed store or peer call.
	retryPause = time.Second
	// watchWait is how long a candidate's watch waits; it counts as one store call.
	watchWait = 10 * time.Second
	// watchTimeout also ends a watch whose connection carries no data any more.
	watchTimeout = 12 * time.Second
	// candidates is the number of instances of a region that campaign, so that the store calls do not grow with the
	// region.
	candidates = 3
	// standbyPause is how long an instance that is no candidate waits before it looks again.
	standbyPause = 5 * time.Second
	// reconcileEvery is the interval at which a holder looks for open journal entries: one list call.
	reconcileEvery = 10 * time.Second
)

// Holder campaigns for the authority over a region and gives orders to its engines while it has it. It is safe for
// concurrent use.
type Holder struct {
	opts    Options
	stats   *stats
	journal journal
	gate    *Gate

	mu      sync.Mutex
	term    *term           // nil while not the holder
	working map[string]bool // engines with an order or a reconciliation
	orders  sync.WaitGroup
}

// claimant is the value of authority/<region>.
type claimant struct {
	Instance string `json:"instance"`
	// Nonce tells campaigns of one process apart, for reading back an ambiguous write.
	Nonce string `json:"nonce"`
}

// NewHolder returns a Holder. Gate is the gate of the same process, which has to give way when the process becomes the
// holder.
func NewHolder(opts Options, gate *Gate) *Holder {
	opts = opts.withDefaults()
	return &Holder{
		opts: opts, stats: newStats(opts.Metrics), journal: journal{opts.Store}, gate: gate,
		working: make(map[string]bool),
	}
}

// Run campaigns until the context ends, then waits for orders in flight and releases the lease.
func (h *Holder) Run(ctx context.Context) {
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
			h.awaitChange(ctx)
			continue
		}
		h.hold(ctx, t)
	}
}

// isCandidate says whether this instance is among those of its region that campaign, by rendezvous hash.
func (h *Holder) isCandidate() bool {
	self := h.opts.View.Self()
	own, better := xxhash.Sum64String(self+"/"+h.opts.Region), 0
	for _, m := range h.opts.View.Live() {
		if m.GetRegion() == h.opts.Region && m.GetId() != self && !m.GetLeaving() &&
			xxhash.Sum64String(m.GetId()+"/"+h.opts.Region) > own {
			better++
		}
	}
	return better < candidates
}

// campaign tries to create the region's key. It returns nil without an error when another instance has it.
func (h *Holder) campaign(ctx context.Context) (*term, error) {
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
	fence, err := h.create(ctx, lease)
	if err != nil {
		// A write that is still under way then fails or creates a key that lapses with the lease.
		h.revoke(lease)
		if errors.Is(err, topo.ErrConflict) {
			return nil, nil
		}
		return nil, err
	}
	return newTerm(fence, lease, sent), nil
}

// create writes the key and returns the revision of its creation, which is the fencing number.
func (h *Holder) create(ctx context.Context, lease topo.LeaseID) (int64, error) {
	value, err := json.Marshal(claimant{Instance: h.opts.View.Self(), Nonce: uuid.NewString()})
	if err != nil {
		return 0, errors.Wrap(err, "authority: encode")
	}
	put, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := authorityKey(h.opts.Region)
	revision, err := h.opts.Store.Put(put, name, value, 0, lease)
	if err == nil || errors.IsAny(err, topo.ErrConflict, topo.ErrUnavailable, topo.ErrRateLimited, topo.ErrLeaseNotFound) {
		return revision, err
	}
	get, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, readErr := h.opts.Store.Get(get, name)
	if readErr != nil || string(entry.Value) != string(value) {
		return 0, errors.Wrap(err, "authority: create key")
	}
	return entry.Created, nil
}

func (h *Holder) revoke(lease topo.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// If the store does not answer, the lease lapses by itself.
	_ = h.opts.Store.Revoke(ctx, lease)
}

// awaitChange waits until the region's key is gone or the watch is over.
func (h *Holder) awaitChange(ctx context.Context) {
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

// hold keeps the lease and resolves open journal entries until the term or the context ends.
func (h *Holder) hold(ctx context.Context, t *term) {
	h.stats.terms.Inc(1)
	eventAcquired.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region), slog.Int64("fence", t.fence))
	h.setTerm(t)
	var reconciling sync.WaitGroup
	reconciling.Go(func() { h.reconcileLoop(t) })
	lost := h.keep(ctx, t)
	h.setTerm(nil)
	if lost {
		h.stats.lost.Inc(1)
		eventLost.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region), slog.Int64("fence", t.fence))
	} else {
		h.drain(t)
	}
	t.cancel()
	reconciling.Wait()
	h.orders.Wait()
	// A term can be over here while its lease, kept alive late, still holds up a successor.
	h.revoke(t.lease)
	if !lost {
		eventReleased.Log(ctx, h.opts.Logger, slog.String("region", h.opts.Region))
	}
}

// drain waits for the orders in flight, at most until the term's end.
func (h *Holder) drain(t *term) {
	drained := make(chan struct{})
	go func() {
		h.orders.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(time.Until(t.until())):
	}
}

// keep sends keep-alives. It returns true when the lease is lost, and false when the context ended first; then it is
// still valid and the orders in flight may end.
func (h *Holder) keep(ctx context.Context, t *term) (lost bool) {
	wait := keepAliveEvery
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
			wait = keepAliveEvery
		case errors.Is(err, topo.ErrLeaseNotFound):
			return true
		default:
			wait = retryPause
		}
	}
}

func (h *Holder) setTerm(t *term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = t
}

// FencingToken returns the fencing number of the current term, if this instance is the holder.
func (h *Holder) FencingToken() (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || !h.term.valid() {
		return 0, false
	}
	return h.term.fence, true
}

// begin takes an engine for one order or reconciliation at a time.
func (h *Holder) begin(engineID string) (*term, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || !h.term.valid() {
		return nil, ErrNotHolder
	}
	if h.working[engineID] {
		return nil, ErrBusy
	}
	h.working[engineID] = true
	h.orders.Add(1)
	return h.term, nil
}

func (h *Holder) end(engineID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.working, engineID)
	h.orders.Done()
}
