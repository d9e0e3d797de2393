package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/suspect"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// maxRoutedRetries bounds the further attempts of one request, refused ones included.
	maxRoutedRetries = 3
	// legMargin is taken from the time that a replica gets, so that its answer can still reach the caller.
	legMargin = 5 * time.Millisecond
)

// routedExchange is one routed request. It implements pipeline.Exchange and is for one goroutine.
type routedExchange struct {
	server  *Server
	routing *Routing
	table   *traffic.Table
	route   *traffic.Route
	service *traffic.Service
	call    *relay.Call
	w       http.ResponseWriter
	control *http.ResponseController
	budget  *retry.WindowBudget
	request pipeline.Request

	fingerprint suspect.Fingerprint
	deadline    time.Time
	// prefills counts the calls that process only the prompt.
	prefills int
	// cache is the processed prompt at another replica, cacheAt that replica.
	cache   *relay.CacheHandle
	cacheAt *upstream.Replica
	tried   map[upstream.Incarnation]bool
	refused map[upstream.Incarnation]bool
	// answer is a failure that a replica answered, which is passed on if no attempt does better.
	answer *wholeAnswer
	// begun is set once the head of a stream has been written, last is the last event that the caller has.
	begun bool
	last  int64
	// first is when the first byte was written.
	first  time.Time
	placed placed
}

// wholeAnswer is a replica's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Place implements pipeline.Exchange.
func (x *routedExchange) Place(context.Context) (place.Placement, error) {
	p, err := x.choose(time.Now())
	switch {
	case err == nil:
		x.placed = placed(p)
		return p, nil
	case errors.Is(err, place.ErrNoReplica):
		return p, errors.Mark(err, pipeline.ErrNoUpstream)
	}
	return p, errors.Mark(err, pipeline.ErrFinal)
}

func (x *routedExchange) choose(now time.Time) (place.Placement, error) {
	replicas, err := x.suspected(now, x.routing.Replicas.Available(x.service.Name))
	if err != nil {
		return place.Placement{}, err
	}
	return x.routing.Balancer.Choose(now, x.service, x.healthy(now, replicas), &place.Request{
		Prompt: x.call.Prompt, Deadline: x.deadline, Target: x.route.TargetLatency, CacheSource: x.cacheAt,
		Tried: x.tried, Refused: x.refused, Resumed: x.begun,
	})
}

// Attempt implements pipeline.Exchange.
func (x *routedExchange) Attempt(ctx context.Context, p place.Placement) error {
	x.server.metrics.attempts.Inc(1)
	leg := &relay.Attempt{
		Replica: p.Replica, Deadline: x.deadline.Add(-legMargin), LastEventID: x.last, Priority: x.route.Priority,
	}
	if p.Prefill != nil {
		if err := x.prefill(ctx, p); err != nil {
			return err
		}
		leg.Replica = x.handOver(p)
	}
	uncached := p.UncachedTokens
	if x.cache != nil {
		leg.Cache, uncached = x.cache, 0
	}
	err := x.sendWatched(ctx, leg, uncached)
	x.judge(ctx, leg.Replica, err)
	if leg.Cache != nil && !errors.Is(err, relay.ErrNotSent) && !errors.Is(err, relay.ErrMisdirected) {
		x.routing.Balancer.RecordHandoff(time.Now(), x.cacheAt, !errors.Is(err, relay.ErrRefused))
		// The replica may have fetched the cache, which can be done once, or have failed to.
		x.cache, x.cacheAt = nil, nil
	}
	return mark(err)
}

// handOver chooses the replica that goes on with a processed prompt. Batches have changed while the prompt was processed.
func (x *routedExchange) handOver(p place.Placement) *upstream.Replica {
	again, err := x.choose(time.Now())
	if err != nil {
		return p.Replica
	}
	x.placed.Replica = again.Replica
	return again.Replica
}

// mark translates how far an attempt got into what the pipeline decides by.
func mark(err error) error {
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return errors.Mark(err, pipeline.ErrNotSent)
	case errors.Is(err, relay.ErrRefused):
		return errors.Mark(err, pipeline.ErrNotRun)
	case errors.Is(err, errCallerWrite):
		return errors.Mark(err, pipeline.ErrFinal)
	}
	return err
}

// send makes one send and delivers the answer.
func (x *routedExchange) send(ctx context.Context, leg *relay.Attempt, uncached int) error {
	board := x.routing.Balancer
	sent := time.Now()
	before := board.RecordSend(leg.Replica, uncached)
	defer func() { board.RecordSendEnd(leg.Replica, uncached) }()
	// A repeat gets a connection of its own, as the first attempt may have failed with its connection.
	ex, err := relay.Send(ctx, x.routing.Pool, x.routing.Dialect, x.call, leg, x.request.Attempts > 0)
	if err != nil {
		return err
	}
	defer ex.Close()
	if load := ex.Info().Load; load != nil {
		board.UpdateLoad(time.Now(), leg.Replica, load)
	}
	if x.service.Engine != nil {
		board.RecordPrefill(time.Now(), leg.Replica, x.service, &x.call.Prompt, uncached, before, time.Since(sent))
		uncached = 0
	}
	x.request.MarkAccepted()
	if x.route.Kind == traffic.Stream && ex.Status() == http.StatusOK {
		return x.stream(ex)
	}
	body, err := ex.ReadBody()
	if err != nil {
		return err
	}
	board.RecordResponseTime(leg.Replica, time.Since(sent))
	x.answer = &wholeAnswer{ex.Status(), ex.Header(), body}
	if ex.Status() >= http.StatusInternalServerError && x.route.Repeatable() {
		return errUnwell
	}
	return nil
}

// prefill has another replica process the prompt. The answer has not begun then, so a failure is one of an attempt that
// did not run; the service counts it as a repeat when the request is sent again.
func (x *routedExchange) prefill(ctx context.Context, p place.Placement) error {
	if x.prefills++; x.prefills > 1 && !x.budget.Take(time.Now()) {
		// Only the first processing of a prompt is free of the budget.
		err := errors.Mark(errors.New("entry: no retry budget to process the prompt again"), pipeline.ErrNotRun)
		return errors.Mark(err, pipeline.ErrFinal)
	}
	handle, err := x.processPrompt(ctx, p)
	if err == nil {
		x.cache, x.cacheAt = handle, p.Prefill
		return nil
	}
	x.judge(ctx, p.Prefill, err)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return errors.Mark(err, pipeline.ErrNotSent)
	case errors.Is(err, relay.ErrRequestEnded):
		return errors.Mark(errors.Mark(err, pipeline.ErrNotRun), pipeline.ErrFinal)
	}
	return errors.Mark(err, pipeline.ErrNotRun)
}

func (x *routedExchange) processPrompt(ctx context.Context, p place.Placement) (*relay.CacheHandle, error) {
	board := x.routing.Balancer
	sent, uncached := time.Now(), p.UncachedTokens
	before := board.RecordSend(p.Prefill, uncached)
	defer func() { board.RecordSendEnd(p.Prefill, uncached) }()
	leg := &relay.Attempt{Replica: p.Prefill, Deadline: x.deadline.Add(-legMargin), PromptOnly: true, LastEventID: -1, Priority: x.route.Priority}
	ex, err := relay.Send(ctx, x.routing.Pool, x.routing.Dialect, x.call, leg, false)
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	if load := ex.Info().Load; load != nil {
		board.UpdateLoad(time.Now(), p.Prefill, load)
	}
	body, err := ex.ReadBody()
	if err != nil {
		return nil, err
	}
	if ex.Status() != http.StatusOK {
		return nil, errors.Mark(errors.Newf("entry: prefill answered with status %d", ex.Status()), relay.ErrIncompleteResponse)
	}
	handle, err := x.routing.Dialect.ParseCacheHandle(leg, body)
	if err != nil {
		return nil, errors.Mark(err, relay.ErrIncompleteResponse)
	}
	board.RecordPrefill(time.Now(), p.Prefill, x.service, &x.call.Prompt, uncached, before, time.Since(sent))
	uncached = 0
	return handle, nil
}

// judge draws the conclusions about a replica from the end of an attempt.
func (x *routedExchange) judge(ctx context.Context, replica *upstream.Replica, err error) {
	start := replica.Incarnation()
	if err != nil {
		x.logAttempt(ctx, replica, err)
	}
	if !errors.Is(err, relay.ErrNotSent) && !errors.Is(err, relay.ErrRequestEnded) {
		x.routing.Balancer.RecordSendResult(time.Now(), replica, errors.Is(err, relay.ErrRefused))
	}
	switch {
	case err == nil:
		x.server.opts.Health.RecordSuccess(time.Now(), upstream.Key(replica))
		return
	case errors.Is(err, errUnwell):
		// Some requests fail on healthy replicas, so one failure says nothing about the replica.
		x.tried = with(x.tried, start)
		return
	case errors.Is(err, relay.ErrRequestEnded) && !x.silent():
		return
	case errors.Is(err, relay.ErrMisdirected):
		x.refused = with(x.refused, start)
		return
	case errors.Is(err, relay.ErrRefused):
		x.tried = with(x.tried, start)
		return
	}
	x.tried = with(x.tried, start)
	if x.server.opts.Health.RecordFailure(time.Now(), upstream.Key(replica)) {
		eventUpstreamEjected.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID))
	}
}

// silentTargets is how many times its target latency a request without a first byte waits until that counts against the
// replica although the caller left.
const silentTargets = 4

// silent says whether a request that ended had no byte of an answer in a time in which it should have had.
func (x *routedExchange) silent() bool {
	waited := time.Since(x.call.Arrived)
	return !x.begun && x.answer == nil && (!time.Now().Before(x.deadline) || x.route.TargetLatency > 0 && waited > silentTargets*x.route.TargetLatency)
}

// healthy leaves out the replicas that fail, but never more than half of them.
func (x *routedExchange) healthy(now time.Time, replicas []*upstream.Replica) []*upstream.Replica {
	return retry.Healthy(x.server.opts.Health, now, replicas, upstream.Key)
}

func with(set map[upstream.Incarnation]bool, start upstream.Incarnation) map[upstream.Incarnation]bool {
	if set == nil {
		set = make(map[upstream.Incarnation]bool)
	}
	set[start] = true
	return set
}

// deliver writes a whole answer.
func (x *routedExchange) deliver(a *wholeAnswer) {
	x.copyHeader(a.header)
	x.first = time.Now()
	if x.call.Method == http.MethodHead {
		if length, found := a.header["Content-Length"]; found {
			x.w.Header()["Content-Length"] = length
		}
		x.w.WriteHeader(a.status)
		return
	}
	writeWhole(x.w, a.status, a.body)
}

// copyHeader takes over a replica's header, but for the fields of its connection.
func (x *routedExchange) copyHeader(header http.Header) {
	out := x.w.Header()
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade":
			continue
		}
		out[name] = values
	}
	if _, found := header["Content-Type"]; !found {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
}
