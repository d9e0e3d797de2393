// Package controller carries out changes of engine roles and model versions in the instance that holds the region's
// authority. It makes one change at a time: it excludes the engine from new work on all instances, waits until the
// engine is empty, sends the orders and waits until a load report shows the change.
package controller

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

const (
	// Interval is the time between two steps.
	Interval = time.Second
	// baseExclusionTime, together with the change time, is how long an exclusion lasts without renewal. It exceeds the
	// call timeouts of an order.
	baseExclusionTime = 15 * time.Second
	// confirmTimeout, together with three times the change time, is the time within which a load report must show the
	// change.
	confirmTimeout = 30 * time.Second
	// exclusionPropagationTime is the time until all instances know of an exclusion. Only a report that is at least
	// this much later than the exclusion can show that the engine is empty.
	exclusionPropagationTime = 2 * time.Second
)

// Controller runs the changes of one region. Step must be called from one goroutine at a time.
type Controller struct {
	opts Options
	job  *job
	// retryAt is the earliest time of the next change of an engine whose last change failed, by engine ID.
	retryAt map[string]time.Time
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts, retryAt: make(map[string]time.Time)}
}

// Run calls Step each Interval until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.Step(ctx, now)
		}
	}
}

// Step advances the change under way, or starts one. It blocks while an order is sent.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	view := c.opts.View(now)
	holdsAuthority := c.opts.Applier.HoldsAuthority()
	change := c.opts.Planner.Plan(c.plannerInput(now, &view, holdsAuthority))
	if c.job != nil {
		c.advanceJob(ctx, now, &view, holdsAuthority)
		return
	}
	if !holdsAuthority {
		return
	}
	if j := c.nextModelsJob(now, &view); j != nil {
		c.startJob(ctx, now, j)
		return
	}
	if change == nil || !c.opts.Automatic() || now.Before(c.retryAt[change.EngineID]) {
		return
	}
	order := &engine.Order{ID: c.opts.NewID(), Kind: engine.OrderRole, Role: change.To}
	c.startJob(ctx, now, &job{engineID: change.EngineID, change: change, orders: []*engine.Order{order}})
}

func (c *Controller) plannerInput(now time.Time, view *View, holdsAuthority bool) *role.Input {
	in := &role.Input{
		Now: now, ChangesAllowed: holdsAuthority && c.opts.Automatic(), Changing: c.job != nil,
		UnmetPrefill: view.UnmetPrefill, UnmetDecode: view.UnmetDecode,
	}
	for i := range view.Engines {
		in.Engines = append(in.Engines, view.Engines[i].Engine)
	}
	return in
}

// startJob excludes the engine from new work, so that it drains.
func (c *Controller) startJob(ctx context.Context, now time.Time, j *job) {
	j.startedAt = now
	c.job = j
	c.opts.Exclude(now, j.engineID, now.Add(c.exclusionTime()))
	eventStarted.Log(ctx, c.opts.Logger, c.logAttrs(j)...)
}

func (c *Controller) exclusionTime() time.Duration { return baseExclusionTime + c.opts.ChangeTime() }

func (c *Controller) logAttrs(j *job) []slog.Attr {
	attrs := []slog.Attr{slog.String("engine", j.engineID)}
	if j.change != nil {
		attrs = append(attrs, slog.String("from", string(j.change.From)), slog.String("to", string(j.change.To)),
			slog.Float64("gain", j.change.Gain))
	}
	return attrs
}

// advanceJob renews the exclusion and takes the next step of the current job. Losing the authority ends the job; the
// next holder reconciles an order that was sent.
func (c *Controller) advanceJob(ctx context.Context, now time.Time, view *View, holdsAuthority bool) {
	j := c.job
	if !holdsAuthority {
		c.endJob(ctx, now, "authority lost")
		return
	}
	e := findEngine(view, j.engineID)
	if e == nil {
		c.endJob(ctx, now, "engine removed")
		return
	}
	c.opts.Exclude(now, j.engineID, now.Add(c.exclusionTime()))
	switch {
	case j.emptyAt.IsZero():
		c.awaitEmpty(ctx, now, e)
	case j.nextOrder < len(j.orders):
		c.sendOrders(ctx, now)
	default:
		c.awaitChange(ctx, now, e)
	}
}

func findEngine(view *View, id string) *Engine {
	for i := range view.Engines {
		if view.Engines[i].ID == id {
			return &view.Engines[i]
		}
	}
	return nil
}

// awaitEmpty sends the orders once the engine is empty, and gives the change up after the drain timeout.
func (c *Controller) awaitEmpty(ctx context.Context, now time.Time, e *Engine) {
	j := c.job
	if e.Empty && e.Reported.Sub(j.startedAt) >= exclusionPropagationTime {
		j.emptyAt = now
		c.sendOrders(ctx, now)
		return
	}
	if now.Sub(j.startedAt) > c.opts.DrainTimeout() {
		c.endJob(ctx, now, "engine did not become empty")
	}
}

// sendOrders sends the remaining orders one after the other. A failed order ends the job.
func (c *Controller) sendOrders(ctx context.Context, now time.Time) {
	j := c.job
	for j.nextOrder < len(j.orders) {
		if err := c.opts.Applier.Apply(ctx, j.engineID, j.orders[j.nextOrder]); err != nil {
			c.endJob(ctx, now, err.Error())
			return
		}
		eventOrdered.Log(ctx, c.opts.Logger, append(c.logAttrs(j), slog.String("order", j.orders[j.nextOrder].ID))...)
		j.nextOrder++
	}
	j.orderedAt = now
}

// awaitChange ends the job once a load report shows the change, or when none has shown it in time.
func (c *Controller) awaitChange(ctx context.Context, now time.Time, e *Engine) {
	j := c.job
	if e.Reported.After(j.orderedAt) && c.changeApplied(j, e) {
		c.endJob(ctx, now, "")
		return
	}
	if now.Sub(j.orderedAt) > 3*c.opts.ChangeTime()+confirmTimeout {
		c.endJob(ctx, now, "change not seen in load reports")
	}
}

// changeApplied reports whether the engine's last load report shows what the job ordered.
func (c *Controller) changeApplied(j *job, e *Engine) bool {
	if j.change != nil {
		return e.Role == j.change.To
	}
	return len(missing(e.Want, e.Models)) == 0 && len(missing(e.Models, e.Want)) == 0
}

// endJob ends the current job and the engine's exclusion. An empty failure means success. After a failure the engine is
// not changed again within the drain timeout.
func (c *Controller) endJob(ctx context.Context, now time.Time, failure string) {
	j := c.job
	c.job = nil
	c.opts.Exclude(now, j.engineID, time.Time{})
	if j.change != nil {
		c.opts.Planner.ChangeEnded(now, j.drainTime())
	}
	if failure == "" {
		eventDone.Log(ctx, c.opts.Logger, c.logAttrs(j)...)
		return
	}
	c.retryAt[j.engineID] = now.Add(c.opts.DrainTimeout())
	eventFailed.Log(ctx, c.opts.Logger, append(c.logAttrs(j), slog.String("fault", failure))...)
}

// nextModelsJob returns the next change of models, or nil. Engines without which the others still do both prefill and
// decode come first. The remaining engines follow, and only while no engine is out of service.
func (c *Controller) nextModelsJob(now time.Time, view *View) *job {
	var indispensable *Engine
	for i := range view.Engines {
		e := &view.Engines[i]
		if !e.Usable || now.Before(c.retryAt[e.ID]) || !modelsDiffer(e) {
			continue
		}
		if bothKindsRemain(view, e) {
			return c.modelsJob(e)
		}
		if indispensable == nil {
			indispensable = e
		}
	}
	if indispensable == nil || anyUnavailable(view) {
		return nil
	}
	return c.modelsJob(indispensable)
}

// anyUnavailable reports whether an engine that has sent load reports is unusable. When it returns, it may be able to
// do the work of an engine that is to be changed.
func anyUnavailable(view *View) bool {
	return slices.ContainsFunc(view.Engines, func(e Engine) bool { return !e.Usable && !e.Reported.IsZero() })
}

// modelsDiffer reports whether the engine's loaded models differ from the configured ones.
func modelsDiffer(e *Engine) bool {
	return len(missing(e.Want, e.Models)) > 0 || len(missing(e.Models, e.Want)) > 0
}

// bothKindsRemain reports whether the other usable engines do both prefill and decode.
func bothKindsRemain(view *View, e *Engine) bool {
	var prefill, decode bool
	for i := range view.Engines {
		other := &view.Engines[i]
		if other.ID == e.ID || !other.Usable {
			continue
		}
		prefill = prefill || other.Role != engine.RoleDecode
		decode = decode || other.Role != engine.RolePrefill
	}
	return prefill && decode
}

// modelsJob returns a job that loads the models that the engine lacks, with their adapters, and then unloads those that
// are no longer configured.
func (c *Controller) modelsJob(e *Engine) *job {
	j := &job{engineID: e.ID}
	for _, want := range missing(e.Want, e.Models) {
		model, version, _ := strings.Cut(want, "@")
		j.orders = append(j.orders, &engine.Order{
			ID: c.opts.NewID(), Kind: engine.OrderLoadModel, Model: model, Version: version,
		})
		for _, adapter := range c.opts.Adapters(model) {
			j.orders = append(j.orders, &engine.Order{
				ID: c.opts.NewID(), Kind: engine.OrderLoadAdapter, Model: model, Version: version, Adapter: adapter,
			})
		}
	}
	for _, extra := range missing(e.Models, e.Want) {
		model, version, _ := strings.Cut(extra, "@")
		j.orders = append(j.orders, &engine.Order{
			ID: c.opts.NewID(), Kind: engine.OrderUnload, Model: model, Version: version,
		})
	}
	return j
}

// missing returns the elements of want that are not in have.
func missing(want, have []string) []string {
	var lacking []string
	for _, w := range want {
		if !slices.Contains(have, w) {
			lacking = append(lacking, w)
		}
	}
	return lacking
}
