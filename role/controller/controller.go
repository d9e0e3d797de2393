// Package controller carries out changes of engine roles and model versions in the instance that holds the region's
// authority. It makes one change at a time: it takes the engine out of the choice of all instances, waits until the
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
	// markTime is how long an exclusion lasts without renewal. It exceeds the call timeouts of an order.
	markTime = 15 * time.Second
	// seenLimit is the time within which a load report must show the change, beyond three times the time away.
	seenLimit = 30 * time.Second
	// quiet is how old the exclusion must be before an empty report counts: the time until all instances know of it.
	quiet = 2 * time.Second
)

// Controller runs the changes of one region. Step must be called from one goroutine at a time.
type Controller struct {
	opts Options
	job  *job
	// retryAt keeps an engine whose change failed out of changes for a while.
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
	held := c.opts.Applier.HoldsAuthority()
	change := c.opts.Planner.Plan(c.input(now, &view, held))
	if c.job != nil {
		c.advance(ctx, now, &view, held)
		return
	}
	if !held {
		return
	}
	if j := c.versionJob(now, &view); j != nil {
		c.start(ctx, now, j)
		return
	}
	if change == nil || !c.opts.Automatic() || now.Before(c.retryAt[change.EngineID]) {
		return
	}
	order := &engine.Order{ID: c.opts.NewID(), Kind: engine.OrderRole, Role: change.To}
	c.start(ctx, now, &job{engineID: change.EngineID, role: change, orders: []*engine.Order{order}})
}

func (c *Controller) input(now time.Time, view *View, held bool) *role.Input {
	in := &role.Input{
		Now: now, ChangesAllowed: held && c.opts.Automatic(), Changing: c.job != nil,
		UnmetPrefill: view.UnmetPrefill, UnmetDecode: view.UnmetDecode,
	}
	for i := range view.Engines {
		in.Engines = append(in.Engines, view.Engines[i].Engine)
	}
	return in
}

func (c *Controller) start(ctx context.Context, now time.Time, j *job) {
	j.started = now
	c.job = j
	c.opts.Exclude(now, j.engineID, now.Add(c.markTime()))
	eventDraining.Log(ctx, c.opts.Logger, c.attrs(j)...)
}

func (c *Controller) markTime() time.Duration { return markTime + c.opts.ChangeTime() }

func (c *Controller) attrs(j *job) []slog.Attr {
	attrs := []slog.Attr{slog.String("engine", j.engineID)}
	if j.role != nil {
		attrs = append(attrs, slog.String("from", string(j.role.From)), slog.String("to", string(j.role.To)),
			slog.Float64("gain", j.role.Gain))
	}
	return attrs
}

// advance moves the job on. A lost authority ends it: the next holder reconciles an order that was sent.
func (c *Controller) advance(ctx context.Context, now time.Time, view *View, held bool) {
	j := c.job
	if !held {
		c.end(ctx, now, "authority lost")
		return
	}
	e := find(view, j.engineID)
	if e == nil {
		c.end(ctx, now, "engine removed")
		return
	}
	c.opts.Exclude(now, j.engineID, now.Add(c.markTime()))
	switch {
	case j.empty.IsZero():
		c.awaitEmpty(ctx, now, e)
	case j.next < len(j.orders):
		c.order(ctx, now)
	default:
		c.awaitChange(ctx, now, e)
	}
}

func find(view *View, id string) *Engine {
	for i := range view.Engines {
		if view.Engines[i].ID == id {
			return &view.Engines[i]
		}
	}
	return nil
}

func (c *Controller) awaitEmpty(ctx context.Context, now time.Time, e *Engine) {
	j := c.job
	if e.Empty && e.Reported.Sub(j.started) >= quiet {
		j.empty = now
		c.order(ctx, now)
		return
	}
	if now.Sub(j.started) > c.opts.DrainTimeout() {
		c.end(ctx, now, "engine did not become empty")
	}
}

func (c *Controller) order(ctx context.Context, now time.Time) {
	j := c.job
	for j.next < len(j.orders) {
		if err := c.opts.Applier.Apply(ctx, j.engineID, j.orders[j.next]); err != nil {
			c.end(ctx, now, err.Error())
			return
		}
		eventOrdered.Log(ctx, c.opts.Logger, append(c.attrs(j), slog.String("order", j.orders[j.next].ID))...)
		j.next++
	}
	j.ordered = now
}

func (c *Controller) awaitChange(ctx context.Context, now time.Time, e *Engine) {
	j := c.job
	if e.Reported.After(j.ordered) && c.applied(j, e) {
		c.end(ctx, now, "")
		return
	}
	if now.Sub(j.ordered) > 3*c.opts.ChangeTime()+seenLimit {
		c.end(ctx, now, "change not seen in load reports")
	}
}

func (c *Controller) applied(j *job, e *Engine) bool {
	if j.role != nil {
		return e.Role == j.role.To
	}
	return len(missing(e.Want, e.Models)) == 0 && len(missing(e.Models, e.Want)) == 0
}

// end finishes the job; an empty fault means success.
func (c *Controller) end(ctx context.Context, now time.Time, fault string) {
	j := c.job
	c.job = nil
	c.opts.Exclude(now, j.engineID, time.Time{})
	if j.role != nil {
		c.opts.Planner.ChangeEnded(now, j.drain())
	}
	if fault == "" {
		eventDone.Log(ctx, c.opts.Logger, c.attrs(j)...)
		return
	}
	c.retryAt[j.engineID] = now.Add(c.opts.DrainTimeout())
	eventFailed.Log(ctx, c.opts.Logger, append(c.attrs(j), slog.String("fault", fault))...)
}

// versionJob returns the next change of models, or nil. Engines whose absence leaves both kinds of work with another
// engine come first; an engine without such an alternative follows when only such engines are left.
func (c *Controller) versionJob(now time.Time, view *View) *job {
	var last *Engine
	for i := range view.Engines {
		e := &view.Engines[i]
		if !e.Usable || now.Before(c.retryAt[e.ID]) || !differs(e) {
			continue
		}
		if hasAlternatives(view, e) {
			return c.loadJob(e)
		}
		if last == nil {
			last = e
		}
	}
	if last == nil || changing(view) {
		return nil
	}
	return c.loadJob(last)
}

// changing says whether an engine is away that may come back as an alternative.
func changing(view *View) bool {
	return slices.ContainsFunc(view.Engines, func(e Engine) bool { return !e.Usable && !e.Reported.IsZero() })
}

func differs(e *Engine) bool {
	return len(missing(e.Want, e.Models)) > 0 || len(missing(e.Models, e.Want)) > 0
}

func hasAlternatives(view *View, e *Engine) bool {
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

// loadJob loads what is missing and then unloads what is not wanted.
func (c *Controller) loadJob(e *Engine) *job {
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

func missing(want, have []string) []string {
	var list []string
	for _, w := range want {
		if !slices.Contains(have, w) {
			list = append(list, w)
		}
	}
	return list
}
