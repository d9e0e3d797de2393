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
	opts     Options
	stats    *stats
	handlers [kindCount]Handler
	budget   *semaphore.Weighted
	inbound  chan struct{}
	dials    singleflight.Group
	calls    sync.WaitGroup // inbound calls
	work     sync.WaitGroup // goroutines of sessions and the janitor
	stop     chan struct{}

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	sessions  map[string]*session // by instance ID, or by "@" and address while the ID is unknown
	all       map[*session]bool
}

var _ Client = (*Transport)(nil)

// New returns a transport without listener. Register the handlers before Serve and the first call.
func New(opts Options) *Transport {
	opts = opts.withDefaults()
	t := &Transport{
		opts: opts, stats: newStats(opts.Metrics),
		budget: semaphore.NewWeighted(largeFrameBudget), inbound: make(chan struct{}, maxInboundCalls),
		stop: make(chan struct{}), sessions: make(map[string]*session), all: make(map[*session]bool),
	}
	t.work.Go(t.closeIdle)
	return t
}

// Handle registers the handler of a kind of call. It must not be called after Serve.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// Call implements Caller. Every error is marked ErrNotSent or ErrNoAnswer or is a *RemoteError. A *RemoteError whose
// code the transport of the peer chose (a code that begins with "peer_") is marked ErrNotSent too. A call to this
// process itself goes straight to the handler.
func (t *Transport) Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	if instance == t.opts.Self {
		return t.answer(t.dispatch(ctx, &peerpb.Request{From: instance, Call: req.GetCall()}), nil)
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
	for key, s := range t.sessions {
		if !strings.HasPrefix(key, "@") && s.usable() {
			ids = append(ids, key)
		}
	}
	return ids
}

// HasSession says whether a session to the instance is open.
func (t *Transport) HasSession(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[instance]
	return s != nil && s.usable()
}

func (t *Transport) call(
	ctx context.Context, key, address, to string, req *peerpb.Request,
) (*peerpb.Response, error) {
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	until, _ := ctx.Deadline()
	frame, err := encodeFrame(&peerpb.Request{
		From: t.opts.Self, To: to, TimeoutMillis: uint32(max(time.Until(until).Milliseconds(), 1)), Call: req.GetCall(),
	})
	if err != nil {
		return t.answer(nil, errors.Mark(err, ErrNotSent))
	}
	t.stats.calls.Inc(1)
	for tries := 0; ; tries++ {
		s, err := t.sessionTo(ctx, key, address)
		if err != nil {
			return t.answer(nil, errors.Mark(err, ErrNotSent))
		}
		resp, err := exchange(ctx, s, frame, t.budget)
		if errors.Is(err, yamux.ErrRemoteGoAway) {
			t.remove(s)
		}
		// A session that ended before the call was sent is replaced once.
		if errors.Is(err, ErrNotSent) && ctx.Err() == nil && tries == 0 && !s.usable() {
			continue
		}
		return t.answer(resp, err)
	}
}

// answer turns an Error message into a *RemoteError and counts failures.
func (t *Transport) answer(resp *peerpb.Response, err error) (*peerpb.Response, error) {
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
		t.stats.notSent.Inc(1)
	} else if errors.Is(err, ErrNoResponse) {
		t.stats.noAnswer.Inc(1)
	}
	return nil, err
}

// sessionTo returns the session of a key and dials if there is none.
func (t *Transport) sessionTo(ctx context.Context, key, address string) (*session, error) {
	t.mu.Lock()
	s, closed := t.sessions[key], t.closed
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
	result := t.dials.DoChan(key, func() (any, error) { return t.dial(key, address) })
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

func (t *Transport) dial(key, address string) (*session, error) {
	t.mu.Lock()
	s := t.sessions[key]
	t.mu.Unlock()
	if s != nil && s.usable() {
		return s, nil // established by the peer, or by a dial that ended just before
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t.stats.dials.Inc(1)
	conn, err := t.opts.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: dial")
	}
	return t.start(conn, true, key)
}
