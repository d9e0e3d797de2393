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
	// registerTimeout bounds a RegisterFence call; the gate answers after registerWait at the latest.
	registerTimeout = 4 * time.Second
	// gateTries bounds the candidates that are asked to be a gate at one time.
	gateTries = 3
	// announceTimeout bounds the sending of a fencing number to an engine.
	announceTimeout = 3 * time.Second
	// forwardTimeout bounds a ForwardOrder call; the gate answers after its waits and orderTimeout.
	forwardTimeout = orderTimeout + 10*time.Second
)

var errHandedOver = errors.New("authority: the gate hands over")

// announce sends the term's number to an engine that checks it, directly and not through the gate, which may be paused
// with an order of the previous term. The number changes nothing else, so a late one does no harm.
func (h *Holder) announce(ctx context.Context, t *term, e config.Engine) error {
	if !e.ChecksFence || t.isAnnounced(e.ID) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	fence := &engine.Order{ID: uuid.NewString(), Fence: t.fence, Kind: engine.OrderFence}
	if _, err := h.opts.Engines.Order(call, e.Address, fence); err != nil {
		return errors.Wrap(err, "authority: send fencing number")
	}
	t.setAnnounced(e.ID)
	return nil
}

// ensureGate returns the entry with a gate that has registered the term's number, which an engine that checks it must
// know, too. It replaces the gate when it is this process, has handed over or is gone. The entry must not be open.
func (h *Holder) ensureGate(ctx context.Context, t *term, e config.Engine, entry journalEntry) (journalEntry, error) {
	if t.isRegistered(e.ID, entry.Gate) {
		return entry, nil
	}
	if err := h.announce(ctx, t, e); err != nil {
		return entry, h.suspend(ctx, e.ID, err)
	}
	err := h.register(ctx, t, e.ID, entry.Gate)
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

// register makes a gate refuse lower numbers for an engine and waits until no order is in flight there. It returns
// errHandedOver when the gate will certainly send no order any more.
func (h *Holder) register(ctx context.Context, t *term, engineID, gate string) error {
	if gate == "" {
		return errHandedOver
	}
	if gate == h.opts.View.Self() {
		return h.gate.register(ctx, engineID, t.fence)
	}
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := h.call(call, gate, &peerpb.Request{Call: &peerpb.Request_RegisterFence{RegisterFence: &peerpb.RegisterFence{
		Region: h.opts.Region, Engine: engineID, Fence: t.fence,
	}}})
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == codeStopping {
		return errHandedOver
	}
	if err != nil && h.gone(ctx, gate) {
		return errHandedOver
	}
	return err
}

// gone says that a process has ended: the instance list has dropped it, which it does only afterwards. Membership is
// asked too, in case the list was read from before the process was added.
func (h *Holder) gone(ctx context.Context, instance string) bool {
	for _, m := range h.opts.View.Live() {
		if m.GetId() == instance {
			return false
		}
	}
	ended, err := h.opts.Processes.Ended(ctx, instance)
	return err == nil && ended
}

// replaceGate names another gate in the journal. A candidate registers the number first, so that an instance that does
// not answer is not named: it could be replaced only after its process has ended.
func (h *Holder) replaceGate(ctx context.Context, t *term, entry journalEntry) (journalEntry, error) {
	ids, err := h.gateCandidates(ctx, entry.Engine, entry.Gate)
	if err != nil {
		return entry, err
	}
	err = errors.New("authority: no other instance can be the gate")
	for _, id := range ids {
		if err = h.register(ctx, t, entry.Engine, id); err == nil {
			return h.nameGate(ctx, t, entry, id)
		}
	}
	return entry, err
}

func (h *Holder) nameGate(ctx context.Context, t *term, entry journalEntry, gate string) (journalEntry, error) {
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

// gateCandidates returns some live instances of the region other than this one and the old gate, by rendezvous hash.
// They must be in the instance list, so that a later absence proves that the process has ended.
func (h *Holder) gateCandidates(ctx context.Context, engineID, old string) ([]string, error) {
	staying, err := h.opts.Processes.Active(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "authority: instance list")
	}
	var ids []string
	for _, m := range h.opts.View.Live() {
		id := m.GetId()
		if id != h.opts.View.Self() && id != old && m.GetRegion() == h.opts.Region && !m.GetLeaving() && staying[id] {
			ids = append(ids, id)
		}
	}
	score := func(id string) uint64 { return xxhash.Sum64String(id + "/" + engineID) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ids[:min(len(ids), gateTries)], nil
}

// forward sends an order to an engine's gate. It returns whether the order was applied when the engine answered.
func (h *Holder) forward(ctx context.Context, e config.Engine, gate string, order *engine.Order) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := h.call(ctx, gate, &peerpb.Request{Call: &peerpb.Request_ForwardOrder{ForwardOrder: &peerpb.ForwardOrder{
		Region: h.opts.Region, Engine: e.ID, Address: e.Address, OrderId: order.ID, Fence: order.Fence,
		Kind: string(order.Kind), Role: string(order.Role), Model: order.Model, Version: order.Version, Adapter: order.Adapter,
	}}})
	if err != nil {
		return false, forwardError(err)
	}
	return resp.GetOrder().GetApplied(), nil
}

// call makes a peer call and turns an error message into a *peer.RemoteError.
func (h *Holder) call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
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
