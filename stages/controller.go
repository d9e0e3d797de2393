package stages

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// checkInterval is the time between two checks of the replicas' stages.
	checkInterval = 500 * time.Millisecond
	// stableTime is how long changes must be due before they are ordered, so that replicas that start one after another
	// do not cause orders that become wrong when the next one starts.
	stableTime = 2 * time.Second
	// orderTimeout bounds an order, which is up to two calls to a replica.
	orderTimeout = time.Second
	// maxChangeTime is the longest time for which a replica counts as changing after an order. It no longer does once it
	// is listed in the ordered stage.
	maxChangeTime = 6 * time.Second
	// minOrderInterval is the least time between two orders to one incarnation of a replica: an order without a
	// response can be executed seconds later.
	minOrderInterval = 20 * time.Second
)

// Options are what a Controller depends on.
type Options struct {
	Store    topo.Store
	Client   StageClient
	Name     string
	Table    func() *traffic.Table
	Replicas *upstream.Registry
	// Candidate reports whether this instance may campaign for the authority. With few candidates, the calls to the store
	// do not grow with the instances. If nil, it may.
	Candidate func() bool
	Logger    *slog.Logger
}

// Controller changes the stages of the replicas of all services to the planned ones.
type Controller struct {
	opts   Options
	holder *LeaseHolder
	// ordered is the last order to each incarnation of a replica.
	ordered map[upstream.Incarnation]givenOrder
	// neededSince is the time since which changes have been due, zero if none are.
	neededSince time.Time
}

// givenOrder is an order that was given to a replica.
type givenOrder struct {
	at    time.Time
	stage upstream.Stage
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	return &Controller{opts: opts, holder: NewLeaseHolder(opts.Store, opts.Name), ordered: make(map[upstream.Incarnation]givenOrder)}
}

// Run plans and orders changes until the context ends and then releases the authority.
func (c *Controller) Run(ctx context.Context) {
	nextCampaign := time.Time{}
	for sleep.For(ctx, checkInterval) {
		now := time.Now()
		if c.holder.Fence() != 0 && !c.holder.Renew(ctx) {
			eventAuthorityLost.Log(ctx, c.opts.Logger)
		}
		changes, planned := c.dueChanges(now)
		switch {
		case !planned:
			c.neededSince = time.Time{}
			continue
		case len(changes) == 0:
			continue
		case c.neededSince.IsZero():
			c.neededSince, nextCampaign = now, now.Add(stableTime+campaignJitter())
		}
		if now.Sub(c.neededSince) < stableTime {
			continue
		}
		if c.holder.Fence() == 0 {
			if now.Before(nextCampaign) || c.opts.Candidate != nil && !c.opts.Candidate() {
				continue
			}
			nextCampaign = now.Add(leaseTTL + campaignJitter())
			c.campaign(ctx)
			continue
		}
		for _, change := range changes {
			if c.holder.MayOrder(time.Now()) {
				c.giveOrder(ctx, change)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := c.holder.Release(ctx); err != nil {
		eventReleaseFailed.Log(ctx, c.opts.Logger, slog.String("error", err.Error()))
	}
}

// dueChanges returns the planned changes that the limits on concurrent changes and on repeated orders allow now, and
// whether any were planned.
func (c *Controller) dueChanges(now time.Time) (due []Change, planned bool) {
	table := c.opts.Table()
	if table == nil {
		return nil, false
	}
	maps.DeleteFunc(c.ordered, func(_ upstream.Incarnation, o givenOrder) bool { return now.Sub(o.at) > minOrderInterval })
	for _, service := range table.Services {
		replicas := c.opts.Replicas.Available(service.Name)
		budget := MaxConcurrentChanges(len(replicas))
		for _, r := range replicas {
			if o, found := c.ordered[r.Incarnation()]; found && now.Sub(o.at) < maxChangeTime && r.Stage != o.stage {
				budget--
			}
		}
		for _, change := range Plan(&service, replicas) {
			planned = true
			if _, recent := c.ordered[change.Replica.Incarnation()]; !recent && budget > 0 {
				due = append(due, change)
				budget--
			}
		}
	}
	return due, planned
}

func (c *Controller) campaign(ctx context.Context) {
	err := c.holder.Campaign(ctx)
	switch {
	case err == nil:
		eventAuthorityTaken.Log(ctx, c.opts.Logger, slog.Int64("fence", c.holder.Fence()))
	case !errors.Is(err, ErrHeld):
		eventCampaignFailed.Log(ctx, c.opts.Logger, slog.String("error", err.Error()))
	}
}

// giveOrder gives one order, unless the replica already has the stage. Whatever its result, it is not repeated before
// minOrderInterval has passed.
func (c *Controller) giveOrder(ctx context.Context, change Change) {
	r := change.Replica
	c.ordered[r.Incarnation()] = givenOrder{at: time.Now(), stage: change.Stage}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sequence, stage, err := c.opts.Client.Sequence(call, r)
	if err == nil && stage != change.Stage && c.holder.MayOrder(time.Now()) {
		err = c.opts.Client.SetStage(call, r, change.Stage, Issuer{Holder: c.opts.Name, Fence: c.holder.Fence()}, sequence)
	}
	attrs := []slog.Attr{
		slog.String("upstream", r.ID), slog.String("from", r.Stage.String()), slog.String("to", change.Stage.String()),
		slog.Int64("fence", c.holder.Fence()), slog.Int64("sequence", sequence),
	}
	if err != nil {
		eventOrderFailed.Log(ctx, c.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
		return
	}
	eventOrdered.Log(ctx, c.opts.Logger, attrs...)
}
