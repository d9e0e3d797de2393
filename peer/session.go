package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is one yamux session. Both sides open streams on it.
type session struct {
	mux    *yamux.Session
	dialed bool
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the streams that this side opens. It is below the accept backlog of the other side, beyond which
	// yamux would block without regard to the caller's context.
	slots chan struct{}
	// key is the table entry that holds the session; it is guarded by the transport's lock.
	key string

	active  atomic.Int64 // calls in both directions
	inbound atomic.Int64
	lastUse atomic.Int64 // unix nanoseconds
	retired atomic.Bool  // no longer in the table, to be closed once unused
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
	s := &session{mux: mux, dialed: dialed, slots: make(chan struct{}, maxStreamsPerSession)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastUse.Store(time.Now().UnixNano())
	return s, nil
}

func (s *session) usable() bool { return !s.mux.IsClosed() && !s.retired.Load() }

func (s *session) begin() { s.active.Add(1) }

func (s *session) end() {
	s.lastUse.Store(time.Now().UnixNano())
	if s.active.Add(-1) == 0 && s.retired.Load() {
		go s.close()
	}
}

// close tells the peer first, so that its next call dials anew.
func (s *session) close() {
	_ = s.mux.GoAway()
	s.mux.Close()
}

// retire lets the calls under way end and then closes the session.
func (s *session) retire() {
	s.retired.Store(true)
	if s.active.Load() == 0 {
		go s.close()
	}
}

func (s *session) idleSince(now time.Time) time.Duration {
	if s.active.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastUse.Load()))
}
