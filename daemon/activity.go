package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/activity"
	"rhubarbpoint/member"
	"rhubarbpoint/operator"
	"rhubarbpoint/platform"
	"rhubarbpoint/settings"
	"rhubarbpoint/topo"
	"rhubarbpoint/truetime"
	"rhubarbpoint/usage"
)

// lastReportTimeout bounds the last report of an instance that stops. It is part of stopMargin.
const lastReportTimeout = 300 * time.Millisecond

// sharedDemandAge is the age up to which fetched demand is used again: scaling and the division into stages each ask once a
// second.
const sharedDemandAge = 500 * time.Millisecond

// demandSpan is the time over which rates of demand are taken: two reports of each instance.
const demandSpan = 2 * time.Second

// fleetActivity is what a routed instance does to know what the fleet serves.
type fleetActivity struct {
	clock     *truetime.Clock
	recorder  *activity.Recorder
	collector *activity.Collector
	exchange  *activity.Exchange
	// reporter is nil without a control API.
	reporter *usage.Reporter
	schedule usage.Schedule
	// fetched is when the latest successful fetch of the demand was started.
	fetched atomic.Pointer[time.Time]
}

// newFleetActivity connects the parts with the peers, whose transport must not serve yet.
func newFleetActivity(s *settings.Settings, peers *routedPeers, needDemand func() bool, prefillSpeed func(service string) float64, registry metrics.Registry, logger *slog.Logger) *fleetActivity {
	f := &fleetActivity{schedule: usage.Schedule{Window: s.UsageWindow.D(), Due: s.UsageDue.D()}, clock: truetime.NewClock(truetime.Options{Logger: logger})}
	self, kept := peers.member.Self(), f.schedule.Kept()
	f.recorder = activity.NewRecorder(activity.RecorderOptions{
		Instance: self, Zone: s.Zone, Clock: f.clock, UsageWindow: f.schedule.Window, UsageKept: kept, PrefillTokensPerMs: prefillSpeed,
	})
	f.collector = activity.NewCollector(activity.CollectorOptions{Self: self, Clock: f.clock, UsageWindow: f.schedule.Window, UsageKept: kept})
	f.exchange = activity.NewExchange(activity.Options{
		Self: self, Members: liveMembers{peers.member}, Peers: peers.transport, Clock: f.clock, Recorder: f.recorder, Collector: f.collector,
		Needed: func() bool { return s.UsageWindow > 0 || needDemand() }, NeedDemand: needDemand,
		Logger: logger, Metrics: registry,
	})
	f.exchange.Register(peers.transport)
	return f
}

// reportUsage makes the instance report the usage while it holds the duties. Without a control API or a window, it does
// nothing.
func (f *fleetActivity) reportUsage(r *routedInstance) {
	if r.control == nil || f.schedule.Window <= 0 {
		return
	}
	f.reporter = usage.NewReporter(usage.Options{
		Schedule: f.schedule, Store: r.store, Authority: r.duties, Need: r.duties.Duty("usage").Need, Sender: r.control,
		Encode: platform.EncodeUsage, Clock: f.clock, Exchange: f.exchange, Collector: f.collector,
		Live: liveMembers{r.peers.member}.Live, Logger: r.logger, Metrics: r.metrics,
	})
}

// demand returns the demand of the whole fleet over the latest seconds.
func (f *fleetActivity) demand(ctx context.Context) (activity.Fleet, error) {
	now := time.Now()
	if last := f.fetched.Load(); last == nil || now.Sub(*last) >= sharedDemandAge {
		if _, err := f.exchange.FetchDemand(ctx); err != nil {
			return activity.Fleet{}, err
		}
		f.fetched.Store(&now)
	}
	return f.collector.Fleet(time.Now(), demandSpan), nil
}

// observe records a change of the store for the usage reports.
func (f *fleetActivity) observe(entry topo.Entry) {
	if f.reporter != nil {
		f.reporter.Observe(entry)
	}
}

// runDuties reports the usage until the context ends.
func (f *fleetActivity) runDuties(ctx context.Context) {
	if f.reporter != nil {
		f.reporter.Run(ctx)
	}
}

// sendLast sends the counts since the last report when the instance stops.
func (f *fleetActivity) sendLast() {
	ctx, cancel := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancel()
	f.exchange.SendLast(ctx)
}

// register adds the state of the parts to the state dump.
func (f *fleetActivity) register(state *operator.StateRegistry) {
	state.Register("truetime", func() any { return f.clock.State() })
	state.Register("activity", func() any { return f.exchange.State(time.Now()) })
	if f.reporter != nil {
		state.Register("usage", func() any { return f.reporter.State() })
	}
}

// liveMembers adapts the membership to activity.Members.
type liveMembers struct{ service *member.Service }

// Live implements activity.Members.
func (m liveMembers) Live() []string {
	var ids []string
	for _, live := range m.service.Live() {
		ids = append(ids, live.GetId())
	}
	return ids
}

// Suspected implements activity.Members.
func (m liveMembers) Suspected(id string) bool { return m.service.Suspected(id) }
