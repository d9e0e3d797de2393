package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"rhubarbpoint/peer/peerpb"
)

// Transport carries calls to and from other instances. It is safe for concurrent use.
type Transport struct {
	opts         Options
	stats        *stats
	handlers     [kindCount]Handler
	memoryBudget *semaphore.Weighted
	inboundSlots chan struct{}
	openStreams  chan struct{} // slots of the streams that peers opened
	admitStream  func(from string) error
	serveStream  func(conn net.Conn)
	dialGroup    singleflight.Group
	inboundCalls sync.WaitGroup // calls being served
	goroutines   sync.WaitGroup // of sessions and closeIdle
	stop         chan struct{}

	mu            sync.Mutex
	closed        bool
	listeners     []net.Listener
	sessionsByKey map[string]*session // by instance ID, or by "@" and address while the ID is unknown
	allSessions   map[*session]bool
}

var _ Client = (*Transport)(nil)

// New returns a transport without a listener. Handlers must be registered before Serve and the first call.
func New(opts Options) *Transport {
	opts = opts.withDefaults()
	t := &Transport{
		opts: opts, stats: newStats(opts.Metrics),
		memoryBudget: semaphore.NewWeighted(largeFrameBudget), inboundSlots: make(chan struct{}, maxInboundCalls),
		openStreams: make(chan struct{}, maxOpenStreams),
		stop:        make(chan struct{}), sessionsByKey: make(map[string]*session), allSessions: make(map[*session]bool),
	}
	t.goroutines.Go(t.closeIdle)
	return t
}

// Handle registers the handler for a kind of call. It must not be called after Serve.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// Call implements Client. Every error is marked ErrNotSent or ErrNoResponse or is a *RemoteError. A *RemoteError with a
// code of the peer's transport (one that begins with "peer_") is also marked ErrNotSent. A call to this process itself
// is passed directly to the handler.
func (t *Transport) Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	if instance == t.opts.Self {
		return t.callResult(t.dispatch(ctx, &peerpb.Request{From: instance, Call: req.GetCall()}), nil)
	}
	address, _ := t.opts.Address(instance)
	return t.call(ctx, instance, address, instance, req)
}

// CallAddress is like Call for an instance whose ID is not known yet.
func (t *Transport) CallAddress(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	return t.call(ctx, "@"+address, address, "", req)
}

// Connected returns the IDs of the instances to which a session is open.
func (t *Transport) Connected() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for key, s := range t.sessionsByKey {
		if !strings.HasPrefix(key, "@") && s.usable() {
			ids = append(ids, key)
		}
	}
	return ids
}

// HasSession reports whether a session to the instance is open.
func (t *Transport) HasSession(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessionsByKey[instance]
	return s != nil && s.usable()
}

// call sends a request over the session of the key, which it dials at the address if there is none.
func (t *Transport) call(
	ctx context.Context, key, address, to string, req *peerpb.Request,
) (*peerpb.Response, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	frame, err := encodeFrame(t.addressed(&peerpb.Request{Call: req.GetCall()}, to, deadline))
	if err != nil {
		return t.callResult(nil, errors.Mark(err, ErrNotSent))
	}
	t.stats.calls.Inc(1)
	for tries := 0; ; tries++ {
		s, err := t.sessionTo(ctx, key, address)
		if err != nil {
			return t.callResult(nil, errors.Mark(err, ErrNotSent))
		}
		resp, err := roundTrip(ctx, s, frame, t.memoryBudget)
		if errors.Is(err, yamux.ErrRemoteGoAway) {
			t.remove(s)
		}
		// If the session ended before the call was sent, the call is retried once on a new session.
		if errors.Is(err, ErrNotSent) && ctx.Err() == nil && tries == 0 && !s.usable() {
			continue
		}
		return t.callResult(resp, err)
	}
}

// addressed completes a request to a peer.
func (t *Transport) addressed(req *peerpb.Request, to string, deadline time.Time) *peerpb.Request {
	req.From, req.To, req.TimeoutMillis = t.opts.Self, to, uint32(max(time.Until(deadline).Milliseconds(), 1))
	return req
}

// callResult converts an Error message to a *RemoteError and counts the calls that were not sent or got no response.
func (t *Transport) callResult(resp *peerpb.Response, err error) (*peerpb.Response, error) {
	if remote := resp.GetError(); err == nil && remote != nil {
		err = &RemoteError{Code: remote.GetCode(), Message: remote.GetMessage()}
		if strings.HasPrefix(remote.GetCode(), transportCodePrefix) {
			err = errors.Mark(err, ErrNotSent)
		}
	}
	if err == nil {
		return resp, nil
	}
	if errors.Is(err, ErrNotSent) {
		t.stats.callsNotSent.Inc(1)
	} else if errors.Is(err, ErrNoResponse) {
		t.stats.callsNoResponse.Inc(1)
	}
	return nil, err
}

// sessionTo returns the session of a key. If there is none, it dials the address; concurrent calls share the dial.
func (t *Transport) sessionTo(ctx context.Context, key, address string) (*session, error) {
	t.mu.Lock()
	s, closed := t.sessionsByKey[key], t.closed
	t.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if s != nil && s.usable() {
		return s, nil
	}
	if address == "" {
		return nil, errors.Wrapf(ErrUnknownInstance, "%q", key)
	}
	result := t.dialGroup.DoChan(key, func() (any, error) { return t.dial(key, address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*session), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a session and registers it under the key.
func (t *Transport) dial(key, address string) (*session, error) {
	t.mu.Lock()
	s := t.sessionsByKey[key]
	t.mu.Unlock()
	if s != nil && s.usable() {
		return s, nil // dialed by the peer, or by another call just before
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t.stats.dials.Inc(1)
	conn, err := t.opts.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: dial")
	}
	return t.startSession(conn, true, key)
}
