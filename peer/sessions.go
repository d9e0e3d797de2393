package peer

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// startSession opens a session on a connection, registers it under the key unless that is empty, and serves the peer's
// calls.
func (t *Transport) startSession(conn net.Conn, dialed bool, key string) (*session, error) {
	t.mu.Lock()
	full, closed := len(t.allSessions) >= maxSessions, t.closed
	t.mu.Unlock()
	if closed || full {
		conn.Close()
		if closed {
			return nil, ErrClosed
		}
		eventTooManySessions.Log(context.Background(), t.opts.Logger, slog.Int("limit", maxSessions))
		return nil, errors.Newf("peer: too many sessions, limit is %d", maxSessions)
	}
	s, err := newSession(&countingConn{Conn: conn, stats: t.stats}, dialed)
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "peer: open session")
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		s.mux.Close()
		return nil, ErrClosed
	}
	t.allSessions[s] = true
	if key != "" {
		t.register(s, key)
	}
	t.stats.sessions.Update(int64(len(t.allSessions)))
	t.goroutines.Go(func() { t.acceptCalls(s) })
	t.mu.Unlock()
	eventSessionOpened.Log(s.ctx, t.opts.Logger, slog.String("peer", key), slog.Bool("dialed", dialed))
	return s, nil
}

// register makes a session the one of the key and retires the previous one. The lock is held.
func (t *Transport) register(s *session, key string) {
	if old := t.sessionsByKey[key]; old != nil && old != s {
		old.retire()
	}
	t.sessionsByKey[key], s.key = s, key
}

// identify registers an accepted session under the ID of the peer, which its first call names. If both sides have
// dialed at the same time, both use the session that the instance with the lower ID has dialed, so that each pair uses
// one session. A newer session from the same side replaces the older one, which may have gone silent.
func (t *Transport) identify(s *session, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.dialed || s.key != "" || from == "" || strings.HasPrefix(from, "@") || s.retired.Load() || t.closed {
		return
	}
	old := t.sessionsByKey[from]
	if old != nil && old.usable() && old.dialed && t.opts.Self < from {
		s.key = "~" + from // identified, but not used for calls to the peer
		return
	}
	t.register(s, from)
}

func (t *Transport) keyOf(s *session) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.key
}

// remove unregisters a session and closes it after its current calls have ended.
func (t *Transport) remove(s *session) {
	t.mu.Lock()
	if t.sessionsByKey[s.key] == s {
		delete(t.sessionsByKey, s.key)
	}
	t.mu.Unlock()
	s.retire()
	if s.mux.IsClosed() {
		s.cancel()
		t.mu.Lock()
		delete(t.allSessions, s)
		t.stats.sessions.Update(int64(len(t.allSessions)))
		t.mu.Unlock()
	}
}

// closeIdle periodically closes the sessions that have been idle for idleTimeout, until Shutdown.
func (t *Transport) closeIdle() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case now := <-ticker.C:
			for _, s := range t.listSessions() {
				if s.idleTime(now) >= idleTimeout {
					t.remove(s)
				}
			}
		}
	}
}

func (t *Transport) listSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*session, 0, len(t.allSessions))
	for s := range t.allSessions {
		list = append(list, s)
	}
	return list
}

// Shutdown refuses new calls, waits until the inbound calls or the context end, and closes all sessions. It returns the
// context's error if calls were cut off.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	listeners := t.listeners
	t.mu.Unlock()
	close(t.stop)
	for _, l := range listeners {
		l.Close()
	}
	for _, s := range t.listSessions() {
		_ = s.mux.GoAway()
	}
	callsEnded := make(chan struct{})
	go func() {
		t.inboundCalls.Wait()
		close(callsEnded)
	}()
	var err error
	select {
	case <-callsEnded:
	case <-ctx.Done():
		err = ctx.Err()
	}
	for _, s := range t.listSessions() {
		s.cancel()
		s.mux.Close()
	}
	t.goroutines.Wait()
	return err
}
