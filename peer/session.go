package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session with a peer. Both sides open streams on it.
type session struct {
	mux    *yamux.Session
	dialed bool
	ctx    context.Context
	cancel context.CancelFunc
	// outboundSlots bounds the streams that this side opens. It is smaller than the accept backlog of the other side,
	// beyond which yamux would block regardless of the caller's context.
	outboundSlots chan struct{}
	// openSlots bounds the streams of OpenStream on this session.
	openSlots chan struct{}
	// key is the key of the session in Transport.sessionsByKey. It is guarded by the transport's lock.
	key string

	activeCalls  atomic.Int64 // calls in both directions
	inboundCalls atomic.Int64
	lastUse      atomic.Int64 // unix nanoseconds
	retired      atomic.Bool  // no longer in sessionsByKey, closed once it has no calls
}

func newSession(conn net.Conn, dialed bool) (*session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = 2 * maxStreamsPerSession
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = pingTimeout
	config.StreamOpenTimeout = frameTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	open := yamux.Server
	if dialed {
		open = yamux.Client
	}
	mux, err := open(conn, config)
	if err != nil {
		return nil, err
	}
	s := &session{mux: mux, dialed: dialed, outboundSlots: make(chan struct{}, maxStreamsPerSession), openSlots: make(chan struct{}, maxOpenPerSession)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastUse.Store(time.Now().UnixNano())
	return s, nil
}

func (s *session) usable() bool { return !s.mux.IsClosed() && !s.retired.Load() }

func (s *session) beginCall() { s.activeCalls.Add(1) }

func (s *session) endCall() {
	s.lastUse.Store(time.Now().UnixNano())
	if s.activeCalls.Add(-1) == 0 && s.retired.Load() {
		go s.close()
	}
}

// close first sends a go-away message, so that the next call of the peer dials a new session.
func (s *session) close() {
	_ = s.mux.GoAway()
	s.mux.Close()
}

// retire closes the session after its current calls have ended.
func (s *session) retire() {
	s.retired.Store(true)
	if s.activeCalls.Load() == 0 {
		go s.close()
	}
}

// idleTime returns how long the session has had no calls.
func (s *session) idleTime(now time.Time) time.Duration {
	if s.activeCalls.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastUse.Load()))
}
