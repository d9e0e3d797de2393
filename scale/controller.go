package scale

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/activity"
	"rhubarbpoint/duty"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// checkInterval is the time between two decisions.
	checkInterval = 500 * time.Millisecond
	// demandInterval is the least time between two calls of Demand. Instances report once a second.
	demandInterval = time.Second
	// demandTimeout bounds a call of Demand. It is short because decisions wait for it.
	demandTimeout = 400 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// orderTimeout bounds an order. An authority ends a second before a successor may act.
	orderTimeout = time.Second
	// maxOrders is the largest number of orders sent after one decision, one for each of the zones of a service. The
	// platform allows 50 calls a second for all duties.
	maxOrders = 6
	// minWait and maxWait are the times between attempts of an order without a response, and between orders after the
	// platform turned one away for their rate.
	minWait = 500 * time.Millisecond
	maxWait = 4 * time.Second
	// LedgerKey holds the numbers that were ordered last.
	LedgerKey = "rhubarbpoint/scale"
)

// Options are what a Controller depends on.
type Options struct {
	Store     topo.Store
	Orderer   Orderer
	Authority duty.Authority
	// Need is called with true while some service has Scaling, so that the instance campaigns for the duties. It may be
	// nil.
	Need func(now time.Time, needed bool)
	// Table returns the routing table, nil if none is known.
	Table func() *traffic.Table
	// Replicas returns all listed replicas, none if the list has not been read.
	Replicas func() []upstream.Replica
	RegionOf func(zone string) string
	// Demand returns the demand over the last seconds. Without it the demand is unknown.
	Demand  func(ctx context.Context) (activity.Fleet, error)
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// Controller orders replicas while this instance holds the duties. Run and Dump may be used concurrently. Its lock is
// held during no call.
type Controller struct {
	opts Options

	// The fields below are used by Run only.
	fence    int64 // of the term for which the ledger was read, 0 without one
	reread   bool  // the ledger must be read again
	revision int64 // of the ledger in the store
	stored   ledger
	// ordered is stored with the numbers that the platform refused replaced by those still in force.
	ordered  ledger
	memories map[string]Memory
	calls    map[callKey]*call
	demand   activity.Fleet
	asked    time.Time // when the demand was asked for
	answered time.Time // when the demand in use was asked for
	// pausedUntil is the time until which no order is sent, because of the rate of calls.
	pausedUntil time.Time
	pause       time.Duration
	storeFailed bool

	mu   sync.Mutex
	dump State
}

type callKey struct {
	service string
	Subject
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	c := &Controller{opts: opts}
	c.reset()
	return c
}

// Run decides and orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		c.step(ctx)
	}
	if c.opts.Need != nil {
		c.opts.Need(time.Now(), false)
	}
}

// step makes one decision for each service and sends what is due.
func (c *Controller) step(ctx context.Context) {
	now := time.Now()
	services := scaledServices(c.opts.Table())
	if c.opts.Need != nil {
		c.opts.Need(now, len(services) > 0)
	}
	term, allowed := c.opts.Authority.Term(now)
	if len(services) == 0 || !allowed {
		c.reset()
		return
	}
	replicas := c.opts.Replicas()
	if len(replicas) == 0 || !c.read(ctx, term) {
		return
	}
	maps.DeleteFunc(c.calls, func(key callKey, _ *call) bool {
		return !slices.ContainsFunc(services, func(s traffic.Service) bool { return s.Name == key.service })
	})
	c.askDemand(ctx, now)
	c.decide(ctx, services, replicas)
	c.send(ctx)
}

// scaledServices returns the services that have Scaling, in order of their names.
func scaledServices(table *traffic.Table) []traffic.Service {
	var found []traffic.Service
	if table == nil {
		return nil
	}
	for _, service := range table.Services {
		if service.Scaling != nil {
			found = append(found, service)
		}
	}
	slices.SortFunc(found, func(a, b traffic.Service) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// reset forgets what holds for one term only.
func (c *Controller) reset() {
	if c.fence == 0 && c.calls != nil {
		return
	}
	c.fence, c.reread, c.revision, c.stored, c.ordered = 0, false, 0, nil, nil
	c.memories, c.calls = make(map[string]Memory), make(map[callKey]*call)
	c.setDump(State{})
}

// read reads the ledger at the start of a term and after a write whose outcome is unknown. It returns false if it
// could not.
func (c *Controller) read(ctx context.Context, term duty.Term) bool {
	if c.fence == term.Fence && !c.reread {
		return true
	}
	if c.fence != 0 && c.fence != term.Fence {
		c.reset()
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.opts.Store.Get(ctx, LedgerKey)
	stored := make(ledger)
	switch {
	case errors.Is(err, topo.ErrNotFound):
		entry.Revision = 0
	case err != nil:
		c.logStoreFailure(ctx, errors.Wrap(err, "scale: read what was ordered"))
		return false
	default:
		if stored, err = decodeLedger(entry.Value); err != nil {
			eventLedgerUnreadable.Log(ctx, c.opts.Logger, slog.String("error", err.Error()))
			stored = make(ledger)
		}
	}
	if c.fence == 0 {
		eventTermStarted.Log(ctx, c.opts.Logger, slog.Int64("fence", term.Fence), slog.Int64("revision", entry.Revision))
	}
	c.storeFailed, c.reread = false, false
	c.fence, c.revision, c.stored, c.ordered = term.Fence, entry.Revision, stored, stored
	return true
}

// askDemand updates the demand. If it cannot, the ages of the last one grow.
func (c *Controller) askDemand(ctx context.Context, now time.Time) {
	if c.opts.Demand == nil || now.Sub(c.asked) < demandInterval {
		return
	}
	c.asked = now
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	fleet, err := c.opts.Demand(ctx)
	if err != nil {
		c.count("demand_failures")
		return
	}
	c.demand, c.answered = fleet, now
}

// demandOf returns the demand for a service with its present age.
func (c *Controller) demandOf(now time.Time, service string) map[string]activity.Rates {
	zones := make(map[string]activity.Rates, len(c.demand.Zones[service]))
	for zone, rates := range c.demand.Zones[service] {
		rates.Age += now.Sub(c.answered)
		zones[zone] = rates
	}
	return zones
}

// decide decides on all services, writes the numbers that have changed, and only then makes them due.
func (c *Controller) decide(ctx context.Context, services []traffic.Service, replicas []upstream.Replica) {
	now := time.Now()
	next := c.ordered
	decisions := make([]Decision, len(services))
	for i := range services {
		service := &services[i]
		var own []upstream.Replica
		for _, r := range replicas {
			if r.Service == service.Name {
				own = append(own, r)
			}
		}
		if len(own) == 0 && len(c.ordered[service.Name]) == 0 {
			continue // nothing is known of its replicas
		}
		decisions[i] = Plan(now, Input{
			Service: service, RegionOf: c.opts.RegionOf, Replicas: own, Demand: c.demandOf(now, service.Name),
			Ordered: c.ordered[service.Name], Memory: c.memories[service.Name],
		})
		for _, o := range decisions[i].Orders {
			next = next.with(service.Name, o.Subject, o.To)
		}
	}
	// Numbers that were refused stay in the store until the next decision: a successor finds them refused again, and each
	// write wakes the watches of all followers.
	if !next.equal(c.ordered) && !next.equal(c.stored) && !c.write(ctx, next) {
		return
	}
	c.ordered = next
	state := State{Fence: c.fence, Services: make(map[string]ServiceState, len(services))}
	for i := range services {
		name := services[i].Name
		c.adopt(ctx, now, name, &decisions[i])
		state.Services[name] = newServiceState(now, &decisions[i], c.ordered[name])
	}
	c.setDump(state)
}

// adopt makes the orders of a decision due.
func (c *Controller) adopt(ctx context.Context, now time.Time, service string, d *Decision) {
	c.memories[service] = d.Memory
	for _, zone := range d.Reclaimed {
		c.count("reclaims")
		eventReclaimed.Log(ctx, c.opts.Logger, slog.String("service", service), slog.String("zone", zone))
	}
	for _, o := range d.Orders {
		key := callKey{service, o.Subject}
		if o.Reason == Repetition {
			c.count("repetitions")
			if pending := c.calls[key]; pending != nil && pending.order.To == o.To {
				continue // it is being repeated already
			}
		} else {
			eventDecided.Log(ctx, c.opts.Logger,
				slog.String("service", service), slog.String("zone", o.Zone), slog.String("kind", o.Kind.String()),
				slog.Int("from", o.From), slog.Int("to", o.To), slog.String("reason", string(o.Reason)),
				slog.Bool("demand_known", d.Figures.DemandKnown), slog.Float64("demand", d.Figures.Work),
				slog.Float64("sustained", d.Figures.Sustained), slog.Int64("demand_age_ms", d.Figures.Age.Milliseconds()),
				slog.Float64("need", d.Figures.Need), slog.Int("present", o.Present), slog.Float64("price", o.Price))
		}
		c.calls[key] = &call{service: service, order: o, next: now}
		metrics.GetOrRegisterGauge("scale.desired."+service+"."+o.Zone+"."+o.Kind.String(), c.opts.Metrics).Update(int64(o.To))
	}
}

// write writes the ledger. If the outcome is unknown or another holder wrote it, it is read again before the next
// decision.
func (c *Controller) write(ctx context.Context, next ledger) bool {
	value, err := next.encode()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var revision int64
		if revision, err = c.opts.Store.Put(ctx, LedgerKey, value, c.revision, 0); err == nil {
			c.revision, c.stored, c.storeFailed = revision, next, false
			return true
		}
	}
	c.logStoreFailure(ctx, errors.Wrap(err, "scale: write what is to be ordered"))
	if !errors.Is(err, topo.ErrUnavailable) && !errors.Is(err, topo.ErrRateLimited) {
		c.reread = true
	}
	return false
}

func (c *Controller) logStoreFailure(ctx context.Context, err error) {
	c.count("store_failures")
	if !c.storeFailed {
		eventStoreFailed.Log(ctx, c.opts.Logger, slog.String("error", err.Error()))
	}
	c.storeFailed = true
}

// send sends the orders that are due, at most one for each zone of a service, and waits for their responses.
func (c *Controller) send(ctx context.Context) {
	now := time.Now()
	if now.Before(c.pausedUntil) {
		return
	}
	var due []*call
	busy := make(map[[2]string]bool)
	for _, pending := range c.pending() {
		subject := [2]string{pending.service, pending.order.Zone}
		if len(due) < maxOrders && !busy[subject] && !now.Before(pending.next) {
			busy[subject] = true
			due = append(due, pending)
		}
	}
	results := make([]error, len(due))
	var sending sync.WaitGroup
	for i, pending := range due {
		term, allowed := c.opts.Authority.Term(time.Now())
		if !allowed || term.Fence != c.fence {
			due = due[:i]
			break
		}
		sending.Go(func() {
			call, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			o := &pending.order
			results[i] = c.opts.Orderer.Scale(call, term, pending.service, o.Zone, o.To, o.Kind == Preemptible)
		})
	}
	sending.Wait()
	for i, pending := range due {
		c.settle(ctx, time.Now(), pending, results[i])
	}
}

// pending returns the calls without an answer, those that have waited longest first. Of a zone, preemptible replicas are
// first.
func (c *Controller) pending() []*call {
	all := make([]*call, 0, len(c.calls))
	for _, pending := range c.calls {
		all = append(all, pending)
	}
	slices.SortFunc(all, func(a, b *call) int {
		return cmp.Or(a.next.Compare(b.next), cmp.Compare(a.service, b.service), cmp.Compare(a.order.Zone, b.order.Zone),
			cmp.Compare(b.order.Kind, a.order.Kind))
	})
	return all
}

// settle handles the result of an order.
func (c *Controller) settle(ctx context.Context, now time.Time, pending *call, err error) {
	c.count("orders")
	key := callKey{pending.service, pending.order.Subject}
	attrs := []slog.Attr{
		slog.String("service", pending.service), slog.String("zone", pending.order.Zone),
		slog.String("kind", pending.order.Kind.String()), slog.Int("to", pending.order.To),
	}
	switch {
	case err == nil:
		delete(c.calls, key)
		c.pause = 0
	case errors.Is(err, duty.ErrUnavailable):
		delete(c.calls, key)
		c.count("unavailable")
		c.memories[pending.service] = c.memories[pending.service].WithUnavailable(now, pending.order.Subject)
		c.ordered = c.ordered.with(pending.service, pending.order.Subject, pending.order.From)
		eventUnavailable.Log(ctx, c.opts.Logger, attrs...)
	case errors.Is(err, duty.ErrRateLimited):
		c.count("rate_limited")
		if now.Before(c.pausedUntil) {
			break // another order sent at the same time has been turned away
		}
		c.pause = min(maxWait, max(minWait, 2*c.pause))
		wait := c.pause + rand.N(c.pause)
		c.pausedUntil = now.Add(wait)
		eventRateLimited.Log(ctx, c.opts.Logger, append(attrs, slog.Int64("pause_ms", wait.Milliseconds()))...)
	default:
		c.count("failures")
		if errors.Is(err, duty.ErrRefused) {
			delete(c.calls, key) // Plan repeats it if it has no effect
		} else {
			pending.wait = min(maxWait, max(minWait, 2*pending.wait))
			pending.next = now.Add(pending.wait)
		}
		eventOrderFailed.Log(ctx, c.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
	}
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter("scale."+name, c.opts.Metrics).Inc(1)
}
