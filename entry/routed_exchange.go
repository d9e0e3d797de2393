package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/forward"
	"rhubarbpoint/memory"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/reach"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/suspect"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// maxRoutedRetries limits the retries of one request, including those after a refusal.
	maxRoutedRetries = 3
	// deadlineMargin is subtracted from the deadline for a replica, so that its response can still reach the caller.
	deadlineMargin = 5 * time.Millisecond
)

// routedExchange is one routed request. It implements pipeline.Executor and is for one goroutine.
type routedExchange struct {
	server  *Server
	routing *Routing
	table   *traffic.Table
	route   *traffic.Route
	service *traffic.Service
	call    *relay.Call
	w       http.ResponseWriter
	control *http.ResponseController
	// protoMinor is the minor version of the caller's HTTP/1 request.
	protoMinor int
	budget     *retry.WindowBudget
	request    pipeline.Request
	// priority is that of the workspace or, if it has none, of the route.
	priority int

	fingerprint suspect.Fingerprint
	// segments are those of the prompt that other requests can share.
	segments []suspect.Segment
	// segmentTrial is set if the request may be sent although a segment is refused.
	segmentTrial bool
	deadline     time.Time
	// prefills counts the remote prefills of the request.
	prefills int
	// cacheHandle names the KV cache of the processed prompt, cacheSource is the replica that holds it; nil if there is
	// none.
	cacheHandle *relay.CacheHandle
	cacheSource *upstream.Replica
	tried       map[upstream.Incarnation]bool
	refused     map[upstream.Incarnation]bool
	// response is the last buffered response. An error response is passed on to the caller if no later attempt gets a
	// better one or begins a stream.
	response *bufferedResponse
	// status is that of the last response that was not a refusal.
	status int
	// headerWritten is set once the header of a stream has been written, lastEvent is the ID of the last event that the
	// caller has, or -1.
	headerWritten bool
	lastEvent     int64
	// unnumbered is set if events without ID have followed lastEvent. No other replica can go on after them.
	unnumbered bool
	// origin is that of a stream that has begun, answering the replica whose stream is forwarded now.
	origin    streamOrigin
	answering *upstream.Replica
	// originHow and originVersion say how the version was found at which a stream began that the caller takes up again, and
	// which one it is; both are empty for other requests.
	originHow, originVersion string
	// pace measures the events of the current attempt.
	pace eventPace
	// firstByteAt is when the first byte was written.
	firstByteAt   time.Time
	lastPlacement loggedPlacement
	activity      routedActivity
	// holding is what the request holds in the account of memory, responseHeld the part for the buffered response.
	holding      *memory.Holding
	responseHeld int64
	// outbox holds the events of a stream for its caller, where memory has bounds; nil before the first event.
	outbox *outbox
	// header is that of the caller's request. forwarded is set if another instance passed the request on.
	header    http.Header
	forwarded bool
	// end ends the context of the request with a cause.
	end context.CancelCauseFunc
}

// bufferedResponse is a replica's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// Place implements pipeline.Executor.
func (x *routedExchange) Place(context.Context) (place.Placement, error) {
	if x.unsent() && x.forwardsAtOnce() {
		return place.Placement{}, errIsolated
	}
	p, err := x.choose(time.Now())
	if err != nil {
		return p, markUnplaced(err)
	}
	x.lastPlacement = loggedPlacement(p)
	x.recordPlaced(p.UncachedTokens)
	return p, nil
}

// markUnplaced adds the mark of package pipeline to the error of a request that was not placed.
func markUnplaced(err error) error {
	if errors.Is(err, place.ErrNoReplica) {
		return errors.Mark(err, pipeline.ErrNoUpstream)
	}
	return errors.Mark(err, pipeline.ErrFinal)
}

func (x *routedExchange) choose(now time.Time) (place.Placement, error) {
	replicas, err := x.allowedReplicas(now, x.ofOrigin(x.routing.Replicas.Available(x.service.Name)))
	if err != nil {
		return place.Placement{}, err
	}
	return x.routing.Balancer.Choose(now, x.service, x.healthy(now, replicas), &place.Request{
		Prompt: x.call.Prompt, Deadline: x.deadline, Target: x.route.TargetLatency, CacheSource: x.cacheSource,
		Tried: x.tried, Refused: x.refused, Resumed: x.headerWritten, TakenUp: x.resumable() && x.call.LastEventID >= 0,
	})
}

// Attempt implements pipeline.Executor.
func (x *routedExchange) Attempt(ctx context.Context, p place.Placement) error {
	if err := x.checkKeyAgain(ctx); err != nil {
		return err
	}
	x.server.metrics.attempts.Inc(1)
	attempt := &relay.Attempt{
		Replica: p.Replica, Deadline: x.deadline.Add(-deadlineMargin), LastEventID: x.lastEvent, Priority: x.priority,
	}
	if p.Prefill != nil {
		if err := x.remotePrefill(ctx, p); err != nil {
			return err
		}
		var err error
		if attempt.Replica, err = x.chooseDecodeReplica(p); err != nil {
			return err
		}
		if err := x.checkKeyAgain(ctx); err != nil {
			return err
		}
	}
	uncached := p.UncachedTokens
	if x.cacheHandle != nil {
		attempt.Cache, uncached = x.cacheHandle, 0
	}
	err := x.sendDetectingCrash(ctx, attempt, uncached)
	x.recordAttempt(ctx, attempt.Replica, err)
	if attempt.Cache != nil && !errors.Is(err, relay.ErrNotSent) && !errors.Is(err, relay.ErrMisdirected) {
		x.routing.Balancer.RecordHandoff(time.Now(), x.cacheSource, !errors.Is(err, relay.ErrRefused))
		// The cache can be fetched only once, and the replica may have fetched it or failed to.
		x.cacheHandle, x.cacheSource = nil, nil
	}
	return mark(err)
}

// chooseDecodeReplica chooses the replica that decodes after a remote prefill. It chooses again, because the batches of
// the replicas have changed during the prefill, or they may have asked for a pause.
func (x *routedExchange) chooseDecodeReplica(p place.Placement) (*upstream.Replica, error) {
	now := time.Now()
	chosen, err := x.choose(now)
	switch {
	case err == nil:
		x.lastPlacement.Replica = chosen.Replica
		return chosen.Replica, nil
	case x.routing.Balancer.Paused(now, p.Replica):
		return nil, errors.Mark(errors.Mark(err, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	return p.Replica, nil
}

// mark adds the mark of package pipeline that says how far the attempt got.
func mark(err error) error {
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return errors.Mark(err, pipeline.ErrNotSent)
	case errors.Is(err, relay.ErrRefused):
		return errors.Mark(err, pipeline.ErrNotRun)
	case errors.Is(err, errWriteToCaller), errors.Is(err, memory.ErrNoRoom):
		return errors.Mark(err, pipeline.ErrFinal)
	}
	return err
}

// send makes one attempt. It forwards the events of a stream to the caller and buffers any other response.
func (x *routedExchange) send(ctx context.Context, attempt *relay.Attempt, uncached int) error {
	balancer := x.routing.Balancer
	sent := time.Now()
	queuedBefore := balancer.RecordSend(sent, attempt.Replica, uncached)
	attempt.OnResponse, attempt.Hold = x.recordResponse(ctx, attempt.Replica, sent), x.holdResponse(ctx)
	attempt.Probe = x.probe(attempt.Replica)
	x.routing.Reach.RecordSend()
	balancer.RecordBody(attempt.Replica, len(x.call.Body))
	defer func() {
		balancer.RecordBody(attempt.Replica, -len(x.call.Body))
		balancer.RecordSendEnd(attempt.Replica, uncached)
	}()
	// A retry uses a new connection, because the earlier attempt may have failed because of its connection.
	ex, err := relay.Send(ctx, x.routing.Pool, x.routing.Dialect, x.call, attempt, x.request.Attempts > 0)
	if err != nil {
		x.recordNoResponse(sent, err)
		return err
	}
	defer ex.Close()
	x.status = ex.Status()
	if load := ex.Info().Load; load != nil {
		balancer.UpdateLoad(time.Now(), attempt.Replica, load)
	}
	if x.service.Engine != nil {
		balancer.RecordPrefill(time.Now(), attempt.Replica, x.service, &x.call.Prompt, uncached, queuedBefore, time.Since(sent))
		uncached = 0
	}
	x.request.MarkAccepted()
	if x.route.Kind == traffic.Stream && ex.Status() == http.StatusOK {
		err := x.forwardStream(ctx, ex, attempt)
		if err != nil && x.unnumbered {
			return errors.Mark(err, pipeline.ErrFinal)
		}
		return err
	}
	if x.route.Kind != traffic.Stream {
		x.recordResponseBegun(sent, ex.Info().Load)
	}
	body, err := ex.ReadBody()
	if err != nil {
		return err
	}
	if err := x.checkEnd(ctx, ex, attempt.Replica); err != nil {
		return err
	}
	balancer.RecordResponseTime(attempt.Replica, time.Since(sent))
	if x.headerWritten {
		// The caller has a part of the stream already, which this response cannot complete.
		return errors.Mark(errors.Newf("entry: replica responded to a stream that it should continue with status %d", ex.Status()), errServerError)
	}
	x.keep(body)
	x.response = &bufferedResponse{ex.Status(), ex.Header(), body}
	if ex.Status() >= http.StatusInternalServerError && x.route.Repeatable() {
		return errServerError
	}
	return nil
}

// remotePrefill has another replica process the prompt. The response has not begun by then, so a failure is marked as
// one of an attempt that did not run. Sending the request again counts as a retry of the service.
func (x *routedExchange) remotePrefill(ctx context.Context, p place.Placement) error {
	if x.prefills++; x.prefills > 1 && !x.budget.Take(time.Now()) {
		// Only the first remote prefill of a request is not charged to the retry budget.
		err := errors.Mark(errors.New("entry: no retry budget for another remote prefill"), pipeline.ErrNotRun)
		return errors.Mark(err, pipeline.ErrFinal)
	}
	handle, err := x.runPrefill(ctx, p)
	if err == nil {
		x.cacheHandle, x.cacheSource = handle, p.Prefill
		return nil
	}
	x.recordAttempt(ctx, p.Prefill, err)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return errors.Mark(err, pipeline.ErrNotSent)
	case errors.Is(err, relay.ErrRequestEnded):
		return errors.Mark(errors.Mark(err, pipeline.ErrNotRun), pipeline.ErrFinal)
	}
	return errors.Mark(err, pipeline.ErrNotRun)
}

func (x *routedExchange) runPrefill(ctx context.Context, p place.Placement) (*relay.CacheHandle, error) {
	balancer := x.routing.Balancer
	sent, uncached := time.Now(), p.UncachedTokens
	queuedBefore := balancer.RecordSend(sent, p.Prefill, uncached)
	balancer.RecordBody(p.Prefill, len(x.call.Body))
	defer func() {
		balancer.RecordBody(p.Prefill, -len(x.call.Body))
		balancer.RecordSendEnd(p.Prefill, uncached)
	}()
	attempt := &relay.Attempt{Replica: p.Prefill, Deadline: x.deadline.Add(-deadlineMargin), PromptOnly: true, LastEventID: -1, Priority: x.priority,
		OnResponse: x.recordResponse(ctx, p.Prefill, sent), Hold: x.holdResponse(ctx)}
	ex, err := relay.Send(ctx, x.routing.Pool, x.routing.Dialect, x.call, attempt, false)
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	if load := ex.Info().Load; load != nil {
		balancer.UpdateLoad(time.Now(), p.Prefill, load)
	}
	body, err := ex.ReadBody()
	if err != nil {
		return nil, err
	}
	if ex.Status() != http.StatusOK {
		return nil, errors.Mark(errors.Newf("entry: prefill replica responded with status %d", ex.Status()), relay.ErrIncompleteResponse)
	}
	handle, err := x.routing.Dialect.ParseCacheHandle(attempt, body)
	if err != nil {
		return nil, errors.Mark(err, relay.ErrIncompleteResponse)
	}
	balancer.RecordPrefill(time.Now(), p.Prefill, x.service, &x.call.Prompt, uncached, queuedBefore, time.Since(sent))
	uncached = 0
	return handle, nil
}

// recordAttempt records what the result of an attempt says about the replica, for the choice of replicas, its health
// and the next attempts of this request. It logs a failure.
func (x *routedExchange) recordAttempt(ctx context.Context, replica *upstream.Replica, err error) {
	incarnation := replica.Incarnation()
	var lost *lostRaceError
	if errors.As(err, &lost) {
		x.recordLost(ctx, replica, lost)
		return
	}
	if err != nil {
		x.logAttempt(ctx, replica, err)
	}
	if errors.Is(err, memory.ErrNoRoom) || errors.Is(err, errNotBegun) || errors.Is(err, errWriteToCaller) && x.outbox != nil {
		return // says nothing about the replica
	}
	if !errors.Is(err, relay.ErrNotSent) && !errors.Is(err, relay.ErrRequestEnded) {
		x.routing.Balancer.RecordSendResult(time.Now(), replica, errors.Is(err, relay.ErrRefused))
	}
	switch {
	case err == nil:
		x.server.opts.Health.RecordSuccess(time.Now(), upstream.Key(replica))
		return
	case errors.Is(err, errServerError):
		// Some requests fail on healthy replicas, so one failure says nothing about the replica.
		x.tried = addIncarnation(x.tried, incarnation)
		return
	case errors.Is(err, relay.ErrRequestEnded) && !x.replicaSilent():
		return
	case errors.Is(err, relay.ErrMisdirected):
		x.refused = addIncarnation(x.refused, incarnation)
		return
	case errors.Is(err, relay.ErrRefused):
		x.tried = addIncarnation(x.tried, incarnation)
		return
	}
	x.tried = addIncarnation(x.tried, incarnation)
	if x.routing.Reach.Phase() != reach.Isolated {
		x.recordFailure(ctx, replica)
	}
}

// recordFailure records a failure of a replica for its health.
func (x *routedExchange) recordFailure(ctx context.Context, replica *upstream.Replica) {
	if x.server.opts.Health.RecordFailure(time.Now(), upstream.Key(replica)) {
		eventUpstreamEjected.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID))
	}
}

// silentTargetMultiple is the multiple of the target latency after which the lack of a first byte counts as a failure
// of the replica, even if the request ended because the caller disconnected.
const silentTargetMultiple = 4

// replicaSilent reports whether a request has ended without a first byte, although one should have arrived by then.
func (x *routedExchange) replicaSilent() bool {
	waited := time.Since(x.call.Arrived)
	return !x.headerWritten && x.response == nil && (!time.Now().Before(x.deadline) || x.route.TargetLatency > 0 && waited > silentTargetMultiple*x.route.TargetLatency)
}

// healthy leaves out replicas that are failing, but never more than half of them, nor all of a stage.
func (x *routedExchange) healthy(now time.Time, replicas []*upstream.Replica) []*upstream.Replica {
	return retry.Healthy(x.server.opts.Health, now, replicas, upstream.Key, upstream.StageOf)
}

// addIncarnation adds an incarnation to a set, which may be nil, and returns the set.
func addIncarnation(set map[upstream.Incarnation]bool, incarnation upstream.Incarnation) map[upstream.Incarnation]bool {
	if set == nil {
		set = make(map[upstream.Incarnation]bool)
	}
	set[incarnation] = true
	return set
}

// writeResponse writes a buffered response to the caller.
func (x *routedExchange) writeResponse(resp *bufferedResponse) {
	x.copyHeader(resp.header)
	x.firstByteAt = time.Now()
	x.recordFirstByte()
	if x.call.Method == http.MethodHead {
		if length, found := resp.header["Content-Length"]; found {
			x.w.Header()["Content-Length"] = length
		}
		x.w.WriteHeader(resp.status)
		return
	}
	x.releaseRequestBody()
	writeBody(x.w, resp.status, resp.body, x.holding)
}

// copyHeader copies a replica's header, except for the fields of its connection.
func (x *routedExchange) copyHeader(header http.Header) {
	out := x.w.Header()
	for name, values := range header {
		switch name {
		case forward.HeaderIsolated, "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade":
			continue
		}
		out[name] = values
	}
	if _, found := header["Content-Type"]; !found {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
}
