package manager

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

const (
	pollInterval = 1 * time.Minute
	watchWait    = 10 * time.Second
	// callTimeout bounds calls of a store that has no timeouts of its own. For a watch, it is added to the wait.
	callTimeout = 2 * time.Second
	// electionInterval is how often an instance that does not watch the store checks whether it has become a watcher.
	electionInterval = 1 * time.Second
	minRetryDelay    = 500 * time.Millisecond
	maxRetryDelay    = 5 * time.Second
)

// Run keeps the document up to date from the store until the context ends.
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

// poll reads the store once a minute. While there is no document, it reads more often and also asks a peer.
func (m *Manager) poll(ctx context.Context) {
	retry := minRetryDelay
	for {
		m.read(ctx, 0)
		wait := pollInterval
		if !m.Ready() {
			m.fetchFromPeer(ctx)
		}
		if !m.Ready() {
			wait, retry = retry, min(2*retry, maxRetryDelay)
		}
		if !sleep.For(ctx, jitter(wait)) {
			return
		}
	}
}

// watch waits for changes in the store while this instance is one of its zone's watchers. The first retry follows
// immediately: a watch on a connection that stopped carrying data has used 12 s of the 13 s within which a change has
// to be in force.
func (m *Manager) watch(ctx context.Context) {
	var retry time.Duration
	for {
		wait := electionInterval
		if m.opts.ShouldWatch != nil && m.opts.ShouldWatch() {
			if m.read(ctx, watchWait) == nil {
				wait, retry = 0, 0
			} else {
				wait, retry = jitter(retry), min(max(2*retry, minRetryDelay), maxRetryDelay)
			}
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// read fetches the changes since the last revision seen, and waits up to wait for one. Unlike a plain read, it
// transfers the document only if it has changed; plain reads each minute would cost more traffic than all edits of a
// day.
func (m *Manager) read(ctx context.Context, wait time.Duration) error {
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if m.isDocumentLost() {
		return m.list(call)
	}
	entries, _, err := m.opts.Store.Watch(call, StoreKey, m.cursor(), wait)
	if errors.Is(err, topo.ErrCompacted) || errors.Is(err, topo.ErrRestored) || errors.Is(err, topo.ErrTooManyChanges) {
		return errors.CombineErrors(m.list(call), err) // an error, so that watches that fail at once are paced
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	m.recordReadResult(err)
	m.handleEntries(entries)
	return err
}

// list reads the document as it is. The next watch starts from there.
func (m *Manager) list(ctx context.Context) error {
	entries, revision, err := m.opts.Store.List(ctx, StoreKey)
	m.recordReadResult(err)
	if err != nil {
		return err
	}
	m.handleEntries(entries)
	m.skipTo(revision)
	err = m.writeLost(ctx, entries, revision)
	m.mu.Lock()
	m.documentLost = err != nil
	m.mu.Unlock()
	return err
}

func (m *Manager) isDocumentLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.documentLost
}

// writeLost writes the document in force into a store that was restored from an older copy since and has an older document
// or none. Edits are refused until the store has it again. Of several instances that write, one succeeds.
func (m *Manager) writeLost(ctx context.Context, entries []topo.Entry, revision int64) error {
	m.mu.Lock()
	current := m.current
	m.mu.Unlock()
	if current == nil || current.revision == 0 || topo.Era(revision) <= topo.Era(current.revision) {
		return nil
	}
	expect, version := int64(0), int64(0)
	for _, e := range entries {
		if e.Key != StoreKey {
			continue
		}
		found, err := newState(e.Value, e.Revision)
		if err != nil {
			return nil // reported when the entry was read
		}
		expect, version = e.Revision, found.doc.Version
	}
	if version >= current.doc.Version {
		return nil
	}
	if _, err := m.opts.Store.Put(ctx, StoreKey, current.value, expect, 0); err != nil {
		return errors.Wrap(err, "config: write the document that a restored store lacks")
	}
	eventWrittenAgain.Log(ctx, m.opts.Logger, slog.Int64("store", version), slog.Int64("in_force", current.doc.Version))
	return nil
}

func (m *Manager) handleEntries(entries []topo.Entry) {
	for _, e := range entries {
		if e.Key == StoreKey {
			m.handleEntry(e)
		}
	}
}

// skipTo lets the next watch start after a revision at which the document was read.
func (m *Manager) skipTo(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seenRevision = max(m.seenRevision, revision)
}

// cursor returns the revision after which changes are read; 0, which reads the current value, while there is no
// document.
func (m *Manager) cursor() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return 0
	}
	return m.seenRevision
}

// recordReadResult stores the result of a read and logs the first failure of each outage.
func (m *Manager) recordReadResult(err error) {
	m.mu.Lock()
	first := err != nil && m.lastReadErr == nil
	m.lastReadErr = err
	if err == nil {
		m.lastRead = time.Now()
	}
	m.mu.Unlock()
	if first {
		eventReadFailed.Log(context.Background(), m.opts.Logger, slog.String("error", err.Error()))
	}
}

// handleEntry puts an entry read from the store in force, if its version is higher.
func (m *Manager) handleEntry(e topo.Entry) {
	m.mu.Lock()
	m.seenRevision = max(m.seenRevision, e.Revision)
	m.mu.Unlock()
	if e.Value == nil {
		m.reportIfBehind(e.Revision, 0)
		return
	}
	s, err := newState(e.Value, e.Revision)
	if err != nil {
		m.reportRefusal("store", err)
		return
	}
	m.reportIfBehind(e.Revision, s.doc.Version)
	m.advance(s, "store")
}

// reportIfBehind logs an error if the store holds an older version than the one in force although it was written later,
// that is, at a higher revision. An older version at a lower revision only comes from a delayed response.
func (m *Manager) reportIfBehind(revision, version int64) {
	m.mu.Lock()
	behind := m.current != nil && revision > m.current.revision && version < m.current.doc.Version
	m.mu.Unlock()
	if behind {
		eventStoreBehind.Log(context.Background(), m.opts.Logger,
			slog.Int64("store", version), slog.Int64("in_force", m.Version()))
	}
}

// fetchFromPeer puts the document of a peer in force, if one can be fetched and is valid.
func (m *Manager) fetchFromPeer(ctx context.Context) {
	if m.opts.FetchFromPeer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := m.opts.FetchFromPeer(ctx)
	if err != nil || len(data) < revisionSize {
		return
	}
	s, err := decodeState(data)
	if err != nil {
		m.reportRefusal("peer", err)
		return
	}
	m.advance(s, "peer")
}

// Dump returns the state that /debug/state shows.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := dump{SeenRevision: m.seenRevision, From: m.origin, LastRead: m.lastRead, Refusals: m.refusals}
	if m.current != nil {
		d.Version, d.Revision, d.InForceSince, d.Bytes = m.current.doc.Version, m.current.revision, m.inForceSince, len(m.current.value)
	}
	if m.lastReadErr != nil {
		d.ReadError = m.lastReadErr.Error()
	}
	return d
}

// dump is the JSON form of a manager's state.
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
