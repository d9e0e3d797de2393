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
	// interval is the time between two looks at the replicas.
	interval = 500 * time.Millisecond
	// steadyTime is how long a division must be wrong before it is changed, so that replicas that come one after another
	// at a start do not cause orders that the next one makes wrong.
	steadyTime = 2 * time.Second
	// orderTimeout bounds a call to a replica.
	orderTimeout = time.Second
	// awayTime is how long a replica counts as changing after an order, at most.
	awayTime = 6 * time.Second
	// orderPause is the least time between two orders to one start of a replica: an order without an answer can be carried
	// out seconds later.
	orderPause = 20 * time.Second
)

// Options are what a Controller depends on.
type Options struct {
	Store    topo.Store
	Client   StageClient
	Name     string
	Table    func() *traffic.Table
	Replicas *upstream.Registry
	Logger   *slog.Logger
}

// Controller brings the replicas of all services to the planned stages.
type Controller struct {
	opts   Options
	holder *LeaseHolder
	// ordered is when each start of a replica got its last order.
	ordered map[upstream.Incarnation]time.Time
	// needed is since when there is something to change; zero while there is not.
	needed time.Time
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	return &Controller{opts: opts, holder: NewLeaseHolder(opts.Store, opts.Name), ordered: make(map[upstream.Incarnation]time.Time)}
}

// Run works until the context ends and then gives up the authority.
func (c *Controller) Run(ctx context.Context) {
	campaign := time.Time{}
	for sleep.For(ctx, interval) {
		now := time.Now()
		if c.holder.Fence() != 0 && !c.holder.Renew(ctx) {
			eventAuthorityLost.Log(ctx, c.opts.Logger)
		}
		changes := c.due(now)
		switch {
		case len(changes) == 0:
			c.needed = time.Time{}
			continue
		case c.needed.IsZero():
			c.needed, campaign = now, now.Add(steadyTime+campaignPause())
		}
		if now.Sub(c.needed) < steadyTime {
			continue
		}
		if c.holder.Fence() == 0 {
			if now.Before(campaign) {
				continue
			}
			campaign = now.Add(leaseTTL + campaignPause())
			c.campaign(ctx)
			continue
		}
		for _, change := range changes {
			if c.holder.MayOrder(time.Now()) {
				c.order(ctx, change)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := c.holder.Release(ctx); err != nil {
		eventReleaseFailed.Log(ctx, c.opts.Logger, slog.String("error", err.Error()))
	}
}

// due returns the changes that may be ordered now.
func (c *Controller) due(now time.Time) []Change {
	table := c.opts.Table()
	if table == nil {
		return nil
	}
	maps.DeleteFunc(c.ordered, func(_ upstream.Incarnation, at time.Time) bool { return now.Sub(at) > orderPause })
	var due []Change
	for _, service := range table.Services {
		replicas := c.opts.Replicas.Available(service.Name)
		room := MaxConcurrentChanges(len(replicas))
		for _, r := range replicas {
			if at, found := c.ordered[r.Incarnation()]; found && now.Sub(at) < awayTime {
				room--
			}
		}
		for _, change := range Plan(&service, replicas) {
			if _, recent := c.ordered[change.Replica.Incarnation()]; !recent && room > 0 {
				due = append(due, change)
				room--
			}
		}
	}
	return due
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

// order gives one order. It is not repeated before orderPause, whatever becomes of it.
func (c *Controller) order(ctx context.Context, change Change) {
	r := change.Replica
	c.ordered[r.Incarnation()] = time.Now()
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
