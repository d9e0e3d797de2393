package manager

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

const (
	pollInterval = 1 * time.Minute
	watchWait    = 10 * time.Second
	// callTimeout bounds calls (a watch: on top of its wait) of a store that has no timeouts of its own.
	callTimeout = 2 * time.Second
	// electionInterval is how often an instance that does not watch asks whether it has to.
	electionInterval = 1 * time.Second
	minRetry         = 500 * time.Millisecond
	maxRetry         = 5 * time.Second
)

// Run follows the store until the context ends.
func (m *Manager) Run(ctx context.Context) {
	if m.opts.Store == nil {
		<-ctx.Done()
		return
	}
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { m.poll(ctx) })
	loops.Go(func() { m.watch(ctx) })
}

// poll reads the store once a minute, and more often while there is no document.
func (m *Manager) poll(ctx context.Context) {
	retry := minRetry
	for {
		m.read(ctx, 0)
		wait := pollInterval
		if !m.Ready() {
			m.askPeers(ctx)
		}
		if !m.Ready() {
			wait, retry = retry, min(2*retry, maxRetry)
		}
		if !sleep.For(ctx, jitter(wait)) {
			return
		}
	}
}

// watch waits for changes while this instance is chosen to. The first retry comes at once: a watch on a connection that
// stopped carrying data has cost 12 s of the 13 s within which a change has to be in force.
func (m *Manager) watch(ctx context.Context) {
	var retry time.Duration
	for {
		wait := electionInterval
		if m.opts.ShouldWatch != nil && m.opts.ShouldWatch() {
			if m.read(ctx, watchWait) == nil {
				wait, retry = 0, 0
			} else {
				wait, retry = jitter(retry), min(max(2*retry, minRetry), maxRetry)
			}
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// read takes what has changed since the last revision seen, waiting for it if wait is not 0. The store then sends the
// document only if it has changed, where a plain read each minute would cost more traffic than all edits of a day.
func (m *Manager) read(ctx context.Context, wait time.Duration) error {
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	entries, _, err := m.opts.Store.Watch(call, StoreKey, m.cursor(), wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	m.noteRead(err)
	for _, e := range entries {
		if e.Key == StoreKey {
			m.take(e)
		}
	}
	return err
}

// cursor returns the revision to read from: all while there is no document.
func (m *Manager) cursor() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return 0
	}
	return m.seen
}

func (m *Manager) noteRead(err error) {
	m.mu.Lock()
	first := err != nil && m.readErr == nil
	m.readErr = err
	if err == nil {
		m.readAt = time.Now()
	}
	m.mu.Unlock()
	if first {
		eventReadFailed.Log(context.Background(), m.opts.Logger, slog.String("error", err.Error()))
	}
}

// take handles an entry of the store.
func (m *Manager) take(e topo.Entry) {
	m.mu.Lock()
	m.seen = max(m.seen, e.Revision)
	m.mu.Unlock()
	if e.Value == nil {
		m.noteBehind(e.Revision, 0)
		return
	}
	s, err := newState(e.Value, e.Revision)
	if err != nil {
		m.refuse("store", err)
		return
	}
	m.noteBehind(e.Revision, s.doc.Version)
	m.accept(s, "store")
}

// noteBehind logs that the store holds an older version than the one in force, written after that one. An older one
// with a lower revision is only a late answer.
func (m *Manager) noteBehind(revision, version int64) {
	m.mu.Lock()
	behind := m.current != nil && revision > m.current.revision && version < m.current.doc.Version
	m.mu.Unlock()
	if behind {
		eventStoreBehind.Log(context.Background(), m.opts.Logger,
			slog.Int64("store", version), slog.Int64("in_force", m.Version()))
	}
}

func (m *Manager) askPeers(ctx context.Context) {
	if m.opts.FetchFromPeer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := m.opts.FetchFromPeer(ctx)
	if err != nil || len(data) < revisionBytes {
		return
	}
	s, err := decodeState(data)
	if err != nil {
		m.refuse("peer", err)
		return
	}
	m.accept(s, "peer")
}

// Dump returns the state for /debug/state.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := dump{SeenRevision: m.seen, From: m.from, LastRead: m.readAt, Refusals: m.refusals}
	if m.current != nil {
		d.Version, d.Revision, d.InForceSince, d.Bytes = m.current.doc.Version, m.current.revision, m.at, len(m.current.value)
	}
	if m.readErr != nil {
		d.ReadError = m.readErr.Error()
	}
	return d
}

// dump is the state of a manager.
type dump struct {
	Version      int64     `json:"version"`
	Revision     int64     `json:"revision"`
	SeenRevision int64     `json:"seen_revision"`
	From         string    `json:"from,omitempty"`
	InForceSince time.Time `json:"in_force_since"`
	Bytes        int       `json:"bytes"`
	LastRead     time.Time `json:"last_read"`
	ReadError    string    `json:"read_error,omitempty"`
	Refusals     int64     `json:"refusals,omitempty"`
}
