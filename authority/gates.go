package authority

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

const (
	// registerTimeout bounds a RegisterFence call. The gate answers within registerWait.
	registerTimeout = 4 * time.Second
	// maxGateCandidates bounds the instances that one attempt to replace a gate asks to be the gate.
	maxGateCandidates = 3
	// announceTimeout bounds the call that sends a fencing token to an engine.
	announceTimeout = 3 * time.Second
	// forwardTimeout bounds a ForwardOrder call. The gate answers within orderTimeout and its waits for the engine's
	// lock and the store.
	forwardTimeout = orderTimeout + 10*time.Second
)

// errHandedOver means that a gate has handed over an engine or has ended, so that it sends the engine no more orders.
var errHandedOver = errors.New("authority: gate has handed over the engine")

// announceFence sends the term's fencing token to an engine that checks tokens. It sends it directly and not through
// the gate, which may be paused with an order of the previous term. The token changes nothing else at the engine, so it
// does no harm if it arrives late.
func (h *LeaseHolder) announceFence(ctx context.Context, t *term, e config.Engine) error {
	if !e.ChecksFence || t.isAnnounced(e.ID) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	fence := &engine.Order{ID: uuid.NewString(), Fence: t.fence, Kind: engine.OrderFence}
	if _, err := h.opts.Engines.Order(call, e.Address, fence); err != nil {
		return errors.Wrapf(err, "authority: send fencing token to engine %s", e.ID)
	}
	t.setAnnounced(e.ID)
	return nil
}

// ensureGate returns the entry with a gate that has registered the term's fencing token. An engine that checks tokens
// must have got it, too. ensureGate replaces the gate when it is this process, has handed over or has ended. The entry
// must not be open. Errors are marked with ErrSuspended.
func (h *LeaseHolder) ensureGate(ctx context.Context, t *term, e config.Engine, entry journalEntry) (journalEntry, error) {
	if t.isRegistered(e.ID, entry.Gate) {
		return entry, nil
	}
	if err := h.announceFence(ctx, t, e); err != nil {
		return entry, h.suspend(ctx, e.ID, err)
	}
	err := h.registerFence(ctx, t, e.ID, entry.Gate)
	if err != nil && !errors.Is(err, errHandedOver) {
		return entry, h.suspend(ctx, e.ID, err)
	}
	if err != nil || entry.Gate == h.opts.View.Self() {
		if entry, err = h.replaceGate(ctx, t, entry); err != nil {
			return entry, h.suspend(ctx, e.ID, err)
		}
	}
	t.setRegistered(e.ID, entry.Gate)
	return entry, nil
}

// registerFence makes a gate refuse lower fencing tokens for an engine and waits until no order is in flight there. It
// returns errHandedOver when the gate will certainly send the engine no more orders.
func (h *LeaseHolder) registerFence(ctx context.Context, t *term, engineID, gate string) error {
	if gate == "" {
		return errHandedOver
	}
	if gate == h.opts.View.Self() {
		return h.gate.registerFence(ctx, engineID, t.fence)
	}
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := h.callPeer(call, gate, &peerpb.Request{Call: &peerpb.Request_RegisterFence{
		RegisterFence: &peerpb.RegisterFence{Region: h.opts.Region, Engine: engineID, Fence: t.fence},
	}})
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == codeStopping {
		return errHandedOver
	}
	if err != nil && h.hasEnded(ctx, gate) {
		return errHandedOver
	}
	return err
}

// hasEnded reports whether a process has certainly ended: the instance list drops a process only after its end.
// Membership must not see it either, in case the list that was read is older than the process.
func (h *LeaseHolder) hasEnded(ctx context.Context, instance string) bool {
	for _, m := range h.opts.View.Live() {
		if m.GetId() == instance {
			return false
		}
	}
	ended, err := h.opts.Processes.Ended(ctx, instance)
	return err == nil && ended
}

// replaceGate records another gate in the journal. A candidate registers the fencing token first, so that an instance
// that doesn't answer is not recorded: it could be replaced only after its process has ended.
func (h *LeaseHolder) replaceGate(ctx context.Context, t *term, entry journalEntry) (journalEntry, error) {
	ids, err := h.gateCandidates(ctx, entry.Engine, entry.Gate)
	if err != nil {
		return entry, err
	}
	err = errors.Newf("authority: no other instance can be the gate of engine %s", entry.Engine)
	for _, id := range ids {
		if err = h.registerFence(ctx, t, entry.Engine, id); err == nil {
			return h.recordGate(ctx, t, entry, id)
		}
	}
	return entry, err
}

// recordGate writes the gate of an engine to the journal.
func (h *LeaseHolder) recordGate(ctx context.Context, t *term, entry journalEntry, gate string) (journalEntry, error) {
	if !t.valid() {
		return entry, ErrNotHolder
	}
	record := entry.Record
	record.Gate = gate
	replaced, err := h.journal.write(ctx, entry, record)
	if err == nil {
		h.stats.gatesReplaced.Inc(1)
		eventGateReplaced.Log(ctx, h.opts.Logger, slog.String("engine", entry.Engine),
			slog.String("old", entry.Gate), slog.String("new", gate))
	}
	return replaced, err
}

// gateCandidates returns up to maxGateCandidates live instances of the region other than this one and the old gate, in
// the order of their rendezvous hash. They must be in the instance list, so that a later absence proves that the
// process has ended.
func (h *LeaseHolder) gateCandidates(ctx context.Context, engineID, old string) ([]string, error) {
	active, err := h.opts.Processes.Active(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "authority: read instance list")
	}
	var ids []string
	for _, m := range h.opts.View.Live() {
		id := m.GetId()
		if id != h.opts.View.Self() && id != old && m.GetRegion() == h.opts.Region && !m.GetLeaving() && active[id] {
			ids = append(ids, id)
		}
	}
	score := func(id string) uint64 { return xxhash.Sum64String(id + "/" + engineID) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ids[:min(len(ids), maxGateCandidates)], nil
}

// forwardOrder sends an order to an engine's gate. It returns whether the engine's response says that the order was
// applied.
func (h *LeaseHolder) forwardOrder(ctx context.Context, e config.Engine, gate string, order *engine.Order) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := h.callPeer(ctx, gate, &peerpb.Request{Call: &peerpb.Request_ForwardOrder{
		ForwardOrder: &peerpb.ForwardOrder{
			Region: h.opts.Region, Engine: e.ID, Address: e.Address, OrderId: order.ID, Fence: order.Fence,
			Kind: string(order.Kind), Role: string(order.Role), Model: order.Model, Version: order.Version,
			Adapter: order.Adapter,
		},
	}})
	if err != nil {
		return false, forwardError(err)
	}
	return resp.GetOrder().GetApplied(), nil
}

// callPeer makes a peer call. It returns an error in the response as a *peer.RemoteError.
func (h *LeaseHolder) callPeer(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	req.From = h.opts.View.Self()
	resp, err := h.opts.Peers.Call(ctx, instance, req)
	if err != nil {
		return nil, err
	}
	if message := resp.GetError(); message != nil {
		return nil, &peer.RemoteError{Code: message.GetCode(), Message: message.GetMessage()}
	}
	return resp, nil
}
