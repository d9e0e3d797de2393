package peer

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// start opens a session on a connection, enters it under the key if that is known, and serves the peer's calls.
func (t *Transport) start(conn net.Conn, dialed bool, key string) (*session, error) {
	t.mu.Lock()
	full, closed := len(t.all) >= maxSessions, t.closed
	t.mu.Unlock()
	if closed || full {
		conn.Close()
		if closed {
			return nil, ErrClosed
		}
		eventTooManySessions.Log(context.Background(), t.opts.Logger, slog.Int("limit", maxSessions))
		return nil, errors.New("peer: too many sessions")
	}
	s, err := newSession(&countingConn{Conn: conn, stats: t.stats}, dialed)
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "peer: session")
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		s.mux.Close()
		return nil, ErrClosed
	}
	t.all[s] = true
	if key != "" {
		t.enter(s, key)
	}
	t.stats.sessions.Update(int64(len(t.all)))
	t.work.Go(func() { t.acceptCalls(s) })
	t.mu.Unlock()
	eventSessionOpened.Log(s.ctx, t.opts.Logger, slog.String("peer", key), slog.Bool("dialed", dialed))
	return s, nil
}

// enter puts a session into the table in place of any other. The lock is held.
func (t *Transport) enter(s *session, key string) {
	if old := t.sessions[key]; old != nil && old != s {
		old.retire()
	}
	t.sessions[key], s.key = s, key
}

// learn enters an accepted session under the ID that its first call names. When both sides have dialed at once, both
// keep the session that the instance with the lower ID dialed, so that one session remains for each pair. A newer
// session from the same side replaces an older one, which may have gone silent.
func (t *Transport) learn(s *session, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.dialed || s.key != "" || from == "" || strings.HasPrefix(from, "@") || s.retired.Load() || t.closed {
		return
	}
	old := t.sessions[from]
	if old != nil && old.usable() && old.dialed && t.opts.Self < from {
		s.key = "~" + from // counted as known, but not used for own calls
		return
	}
	t.enter(s, from)
}

func (t *Transport) keyOf(s *session) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.key
}

// remove takes a session out of the table and closes it once it is unused.
func (t *Transport) remove(s *session) {
	t.mu.Lock()
	if t.sessions[s.key] == s {
		delete(t.sessions, s.key)
	}
	t.mu.Unlock()
	s.retire()
	if s.mux.IsClosed() {
		s.cancel()
		t.mu.Lock()
		delete(t.all, s)
		t.stats.sessions.Update(int64(len(t.all)))
		t.mu.Unlock()
	}
}

// closeIdle closes sessions that carry no calls.
func (t *Transport) closeIdle() {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case now := <-ticker.C:
			for _, s := range t.snapshot() {
				if s.idleSince(now) >= idleTimeout {
					t.remove(s)
				}
			}
		}
	}
}

func (t *Transport) snapshot() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*session, 0, len(t.all))
	for s := range t.all {
		list = append(list, s)
	}
	return list
}

// Shutdown refuses new calls, waits for the calls being served until the context ends, and closes all sessions. The
// returned error is the context's.
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
	for _, s := range t.snapshot() {
		_ = s.mux.GoAway()
	}
	served := make(chan struct{})
	go func() {
		t.calls.Wait()
		close(served)
	}()
	var err error
	select {
	case <-served:
	case <-ctx.Done():
		err = ctx.Err()
	}
	for _, s := range t.snapshot() {
		s.cancel()
		s.mux.Close()
	}
	t.work.Wait()
	return err
}
