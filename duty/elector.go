package duty

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/topo"
)

// checkInterval is the time between two checks whether to renew the lease or to campaign.
const checkInterval = 500 * time.Millisecond

// StagesDuty is the name of the duty whose campaigns do not depend on what the watch of the store shows. It needs the
// lease only now and then, and deployments without other duties make the same calls as without a watch.
const StagesDuty = "stages"

// Elector campaigns for the lease while a duty needs it, renews it and releases it at the end. One lease covers all
// duties. It is safe for concurrent use; one goroutine (Run) makes all calls to the store, and Term reads what that
// goroutine has published, without waiting for a call.
type Elector struct {
	opts      Options
	holder    *LeaseHolder // used by Run only
	acting    bool         // used by Run only: eventActing was logged for this tenure
	published atomic.Pointer[tenure]
	// observed wakes Run after the schedule was brought forward.
	observed chan struct{}

	mu       sync.Mutex // a leaf: no other lock is taken while it is held
	claims   []*Claim
	schedule schedule
}

var _ Authority = (*Elector)(nil)

// NewElector returns an elector that does nothing until Run.
func NewElector(opts Options) *Elector {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	e := &Elector{opts: opts, holder: NewLeaseHolder(opts.Store, opts.Name), observed: make(chan struct{}, 1)}
	e.publish()
	return e
}

// Duty registers a duty, which does not need the lease yet. The name is for operators.
func (e *Elector) Duty(name string) *Claim {
	c := &Claim{elector: e, name: name}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claims = append(e.claims, c)
	return c
}

// Term implements Authority. now must be read from the clock immediately before, because the decision is void as soon
// as time passes: a duty that makes several calls asks before each of them.
func (e *Elector) Term(now time.Time) (Term, bool) {
	t := e.published.Load()
	return Term{Holder: e.opts.Name, Fence: t.fence}, t.mayAct(now)
}

// State returns the state for operators.
func (e *Elector) State(now time.Time) State {
	term, acting := e.Term(now)
	return State{Fence: term.Fence, Acting: acting, NeededBy: e.neededBy()}
}

// Run renews the lease and campaigns for it until the context ends, and then releases it.
func (e *Elector) Run(ctx context.Context) {
	for e.wait(ctx) {
		if e.holder.Fence() != 0 {
			e.renew(ctx)
		}
		if e.holder.Fence() == 0 && e.startCampaign(time.Now()) {
			e.campaign(ctx)
		}
		e.logActing(ctx)
	}
	e.release(context.WithoutCancel(ctx))
}

// wait waits for the next check. It returns false when the context has ended.
func (e *Elector) wait(ctx context.Context) bool {
	end := time.Now().Add(checkInterval)
	timer := time.NewTimer(e.pause())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return ctx.Err() == nil
		case <-e.observed:
			timer.Reset(min(time.Until(end), e.pause()))
		}
	}
}

func (e *Elector) pause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.schedule.pause(time.Now())
}

// Observe records a change of a key that the watch of the store has shown; other keys than that of the authority are
// ignored. Changes must be given in the order of their revisions.
func (e *Elector) Observe(now time.Time, entry topo.Entry) {
	if entry.Key == authorityKey {
		e.observe(now, entry.Value != nil)
	}
}

// ObserveList records all entries of the store, after which deletions before them are not shown any more.
func (e *Elector) ObserveList(now time.Time, entries []topo.Entry) {
	e.observe(now, slices.ContainsFunc(entries, func(entry topo.Entry) bool { return entry.Key == authorityKey }))
}

func (e *Elector) observe(now time.Time, exists bool) {
	delay := promptDelay() + linkDelay(e.opts.LinkMbps)
	if exists {
		delay = campaignJitter()
	}
	e.mu.Lock()
	e.schedule = e.schedule.observed(now, exists, delay)
	prompt := e.schedule.prompt && e.schedule.needed
	e.mu.Unlock()
	if !prompt {
		return
	}
	select {
	case e.observed <- struct{}{}:
	default:
	}
	if e.opts.Candidate == nil || e.opts.Candidate() {
		e.count("prompt_campaigns")
		eventKeyDeleted.Log(context.Background(), e.opts.Logger, slog.Duration("delay", delay), slog.Float64("link_mbps", e.opts.LinkMbps), e.dutiesAttr())
	}
}

// startCampaign reports whether to campaign now, and schedules the next campaign.
func (e *Elector) startCampaign(now time.Time) bool {
	if !e.campaignDue(now) || e.opts.Candidate != nil && !e.opts.Candidate() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule = e.schedule.campaigned(now, campaignJitter())
	return true
}

func (e *Elector) campaignDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.schedule.due(now)
}

func (e *Elector) campaign(ctx context.Context) {
	e.count("campaigns")
	err := e.holder.Campaign(ctx)
	e.publish()
	switch {
	case err == nil:
		e.count("terms")
		eventAuthorityTaken.Log(ctx, e.opts.Logger, slog.Int64("fence", e.holder.Fence()), e.dutiesAttr())
	case !errors.Is(err, ErrHeld):
		e.count("campaign_failures")
		eventCampaignFailed.Log(ctx, e.opts.Logger, slog.String("error", err.Error()), e.dutiesAttr())
	}
}

func (e *Elector) renew(ctx context.Context) {
	fence := e.holder.Fence()
	held := e.holder.Renew(ctx)
	e.publish()
	if !held {
		e.count("losses")
		eventAuthorityLost.Log(ctx, e.opts.Logger, slog.Int64("fence", fence))
	}
}

// release revokes the lease. Duties are told before the call, since a successor can acquire the lease during it.
func (e *Elector) release(ctx context.Context) {
	e.published.Store(&tenure{})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.holder.Release(ctx); err != nil {
		eventReleaseFailed.Log(ctx, e.opts.Logger, slog.String("error", err.Error()))
	}
}

// logActing logs once in each tenure that this instance may act.
func (e *Elector) logActing(ctx context.Context) {
	now := time.Now()
	t := *e.published.Load()
	if acting := t.mayAct(now); acting != e.acting {
		e.acting = acting
		if acting {
			eventActing.Log(ctx, e.opts.Logger, slog.Int64("fence", t.fence), slog.Duration("waited", now.Sub(t.acquired)),
				slog.Bool("first_holder", t.wroteHistory), e.dutiesAttr())
		}
	}
}

// publish makes the state of the holder visible to Term.
func (e *Elector) publish() {
	t := e.holder.tenure
	e.published.Store(&t)
}

func (e *Elector) setNeed(c *Claim, now time.Time, needed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.needed = needed
	needed = slices.ContainsFunc(e.claims, func(c *Claim) bool { return c.needed })
	watched := slices.ContainsFunc(e.claims, func(c *Claim) bool { return c.needed && c.name != StagesDuty })
	delay := campaignJitter()
	if watched {
		delay += linkDelay(e.opts.LinkMbps)
	}
	e.schedule = e.schedule.update(now, needed, watched, delay)
}

// neededBy returns the names of the duties that need the lease.
func (e *Elector) neededBy() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := []string{}
	for _, c := range e.claims {
		if c.needed {
			names = append(names, c.name)
		}
	}
	return names
}

func (e *Elector) dutiesAttr() slog.Attr {
	return slog.String("needed_by", strings.Join(e.neededBy(), " "))
}

func (e *Elector) count(name string) {
	metrics.GetOrRegisterCounter("duty."+name, e.opts.Metrics).Inc(1)
}
