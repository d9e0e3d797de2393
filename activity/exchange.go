package activity

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/truetime"
)

// ErrNoCollector means that no collector responded.
var ErrNoCollector = errors.New("activity: no collector responded")

// Members is what an Exchange needs of the membership. Implementations are safe for concurrent use.
type Members interface {
	// Live returns the IDs of the live members, this process included.
	Live() []string
	// Suspected reports whether a member has not been heard from for some seconds.
	Suspected(id string) bool
}

// Options configure an Exchange.
type Options struct {
	Self string
	// Members and Peers are the other instances.
	Members   Members
	Peers     peer.Client
	Clock     *truetime.Clock
	Recorder  *Recorder
	Collector *Collector
	// Needed reports whether the settings or a routing table in force call for reports at all, NeedDemand whether they
	// call for the demand. Without it, the reports hold the usage only, since bytes between regions have a price. A nil
	// function means that they do not.
	Needed, NeedDemand func() bool
	Logger             *slog.Logger
	Metrics            metrics.Registry
}

// Exchange sends the reports of this instance to the collectors, serves as a collector, and fetches reports from the
// collectors. It is safe for concurrent use. Its lock is held during no call.
type Exchange struct {
	opts   Options
	stats  *stats
	health collectorHealth

	mu sync.Mutex
	// receivers are the collectors to which reports were sent.
	receivers map[string]*receiver
	// roundTrips are the last times of a call to each collector.
	roundTrips map[string]time.Duration
	// cursors are the revisions of other collectors up to which their reports were fetched.
	cursors map[cursorKey]uint64
	// unsentSince is the time since which no collector has responded, zero if one did.
	unsentSince time.Time
}

// receiver is what a collector has confirmed.
type receiver struct {
	// acked is the last confirmed report, changes the number of changes that it contains.
	acked   *Report
	changes uint64
	at      time.Time
}

type cursorKey struct {
	collector string
	demand    bool
}

// NewExchange returns an Exchange that sends nothing before Run.
func NewExchange(opts Options) *Exchange {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	never := func() bool { return false }
	if opts.Needed == nil {
		opts.Needed = never
	}
	if opts.NeedDemand == nil {
		opts.NeedDemand = never
	}
	return &Exchange{
		opts: opts, stats: newStats(opts.Metrics), receivers: make(map[string]*receiver), roundTrips: make(map[string]time.Duration),
		cursors: make(map[cursorKey]uint64),
	}
}

// Register sets the handlers of the calls that an Exchange serves. It must be called before the transport serves.
func (e *Exchange) Register(t *peer.Transport) {
	t.Handle(peer.KindPushActivity, e.HandlePush)
	t.Handle(peer.KindFetchActivity, e.HandleFetch)
}

// HandlePush serves a report of another instance.
func (e *Exchange) HandlePush(_ context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
	push := req.GetPushActivity()
	r, err := decode(push.GetNames(), push.GetReport())
	if err != nil {
		return nil, err
	}
	r.Instance = from
	e.stats.received.Inc(1)
	result := e.opts.Collector.push(time.Now(), r, push.GetBase())
	pushed := &peerpb.ActivityPushed{Whole: result.whole, Clocks: uint32(result.clocks)}
	if result.clocks > 0 {
		pushed.TrueMicros = result.trueTime.UnixMicro()
	}
	return &peerpb.Response{Result: &peerpb.Response_ActivityPushed{ActivityPushed: pushed}}, nil
}

// HandleFetch serves an instance that needs the reports.
func (e *Exchange) HandleFetch(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	fetch := req.GetFetchActivity()
	found, revision := e.opts.Collector.reports(query{after: fetch.GetAfter(), demand: fetch.GetDemand(), fromWindow: fetch.GetFromWindow()})
	return &peerpb.Response{Result: &peerpb.Response_ActivityReports{ActivityReports: encodeReceived(time.Now(), found, revision)}}, nil
}

// collectors returns the collectors to use now.
func (e *Exchange) collectors(now time.Time) []string {
	return chooseCollectors(e.opts.Members.Live(), func(id string) bool {
		return id != e.opts.Self && (e.opts.Members.Suspected(id) || e.health.failing(now, id))
	})
}

// FetchUsage fetches the usage from a window on from both collectors into the Collector of this instance. It returns the
// number of collectors that responded, which is at least 1, or ErrNoCollector.
func (e *Exchange) FetchUsage(ctx context.Context, fromWindow int64) (int, error) {
	return e.fetch(ctx, query{fromWindow: fromWindow})
}

// FetchDemand is like FetchUsage for the demand.
func (e *Exchange) FetchDemand(ctx context.Context) (int, error) {
	return e.fetch(ctx, query{demand: true, fromWindow: math.MaxInt64})
}

func (e *Exchange) fetch(ctx context.Context, q query) (int, error) {
	collectors, live := e.collectors(time.Now()), e.opts.Members.Live()
	e.mu.Lock()
	maps.DeleteFunc(e.cursors, func(key cursorKey, _ uint64) bool { return !slices.Contains(live, key.collector) })
	e.mu.Unlock()
	errs := make([]error, len(collectors))
	var calls sync.WaitGroup
	for i, collector := range collectors {
		calls.Go(func() { errs[i] = e.fetchFrom(ctx, collector, q) })
	}
	calls.Wait()
	responded := 0
	err := ErrNoCollector
	for _, callErr := range errs {
		if callErr == nil {
			responded++
		} else {
			err = errors.CombineErrors(err, callErr)
		}
	}
	if responded == 0 {
		return 0, err
	}
	return responded, nil
}

// fetchFrom fetches the reports of one collector. This instance has those that it collects itself already.
func (e *Exchange) fetchFrom(ctx context.Context, collector string, q query) error {
	if collector == e.opts.Self {
		return nil
	}
	key := cursorKey{collector, q.demand}
	e.mu.Lock()
	q.after = e.cursors[key]
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := e.opts.Peers.Call(ctx, collector, &peerpb.Request{Call: &peerpb.Request_FetchActivity{
		FetchActivity: &peerpb.FetchActivity{After: q.after, Demand: q.demand, FromWindow: q.fromWindow},
	}})
	now := time.Now()
	e.health.record(now, collector, err == nil)
	if err != nil {
		e.stats.fetchesFailed.Inc(1)
		return errors.Wrap(err, "activity: fetch reports")
	}
	e.stats.fetches.Inc(1)
	reports, err := decodeReceived(now, resp.GetActivityReports())
	if err != nil {
		return err
	}
	e.opts.Collector.merge(now, q, reports)
	e.mu.Lock()
	e.cursors[key] = resp.GetActivityReports().GetRevision()
	e.mu.Unlock()
	return nil
}
