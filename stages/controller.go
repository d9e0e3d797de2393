package stages

import (
	"context"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/activity"
	"rhubarbpoint/duty"
	"rhubarbpoint/internal/sleep"
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
	// Authority tells whether this instance may give orders, Claim states when it needs to.
	Authority duty.Authority
	Claim     *duty.Claim
	Client    StageClient
	Table     func() *traffic.Table
	Replicas  *upstream.Registry
	// ByDemand reports whether the division of a service follows the demand; nil: of none. It has no effect on services
	// with many batch slots (BoundBySlots), or without Demand.
	ByDemand func(service string) bool
	// Demand returns the demand of the whole fleet over the latest seconds. It is called at most once a second, and only
	// while this instance holds the duties.
	Demand func(ctx context.Context) (activity.Fleet, error)
	// Order sorts the replicas that are better in stage decode before others, for services whose division follows the
	// demand; nil: by their IDs. Replicas that are sorted last are the first to change to prefill.
	Order   func(a, b *upstream.Replica) int
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// Controller changes the stages of the replicas of all services to the planned ones. Dump may be called concurrently with
// Run; all other fields are used by Run only.
type Controller struct {
	opts Options
	// ordered is the last order to each incarnation of a replica.
	ordered map[upstream.Incarnation]givenOrder
	// neededSince is the time since which changes have been due, zero if none are.
	neededSince time.Time
	// services are those whose division follows the demand.
	services map[string]*serviceDivision
	// asked is when the demand was asked for.
	asked time.Time
	dump  atomic.Pointer[State]
}

// givenOrder is an order that was given to a replica.
type givenOrder struct {
	at            time.Time
	stage         upstream.Stage
	service, zone string
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	c := &Controller{opts: opts, ordered: make(map[upstream.Incarnation]givenOrder), services: make(map[string]*serviceDivision)}
	c.dump.Store(&State{})
	return c
}

// Dump returns the state for operators.
func (c *Controller) Dump() State { return *c.dump.Load() }

// Run plans and orders changes until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		now := time.Now()
		follows := c.followDemand(ctx, now)
		changes, planned := c.dueChanges(now)
		switch {
		case !planned:
			c.neededSince = time.Time{}
		case len(changes) > 0 && c.neededSince.IsZero():
			c.neededSince = now
		}
		stable := len(changes) > 0 && now.Sub(c.neededSince) >= stableTime
		c.opts.Claim.Need(now, stable || follows)
		if !stable {
			continue
		}
		for _, change := range changes {
			if _, may := c.opts.Authority.Term(time.Now()); may {
				c.giveOrder(ctx, change)
			}
		}
	}
	c.opts.Claim.Need(time.Now(), false)
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
		for _, change := range c.plan(now, &service, replicas) {
			planned = true
			if _, recent := c.ordered[change.Replica.Incarnation()]; !recent && budget > 0 {
				due = append(due, change)
				budget--
			}
		}
	}
	return due, planned
}

// plan returns the planned changes for a service.
func (c *Controller) plan(now time.Time, service *traffic.Service, replicas []*upstream.Replica) []Change {
	if d := c.services[service.Name]; d != nil {
		return d.plan(now, replicas, c.opts.Order)
	}
	return Plan(service, replicas)
}

// giveOrder gives one order, unless the replica already has the stage. Whatever its result, it is not repeated before
// minOrderInterval has passed.
func (c *Controller) giveOrder(ctx context.Context, change Change) {
	r := change.Replica
	c.ordered[r.Incarnation()] = givenOrder{at: time.Now(), stage: change.Stage, service: r.Service, zone: r.Zone}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sequence, stage, err := c.opts.Client.Sequence(call, r)
	term, may := c.opts.Authority.Term(time.Now())
	if err == nil && stage != change.Stage && may {
		err = c.opts.Client.SetStage(call, r, change.Stage, Issuer(term), sequence)
	}
	attrs := []slog.Attr{
		slog.String("upstream", r.ID), slog.String("from", r.Stage.String()), slog.String("to", change.Stage.String()),
		slog.Int64("fence", term.Fence), slog.Int64("sequence", sequence),
	}
	c.count("orders")
	if err != nil {
		c.count("order_failures")
		eventOrderFailed.Log(ctx, c.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
		return
	}
	eventOrdered.Log(ctx, c.opts.Logger, attrs...)
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter("stages."+name, c.opts.Metrics).Inc(1)
}
