// Package manager keeps the configuration document in force on this instance, and edits the one in the store.
//
// The store holds one value for the whole document, so that one compare-and-swap decides whether an edit fits all other
// sections. An instance learns of a version by a watch, by its read each minute, from a peer or by its own edit, in any
// order and repeatedly; it moves only to higher versions, which is why no path can revert an accepted edit.
package manager

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/topo"
)

// StoreKey is the key of the document in the store.
const StoreKey = "config/current"

// keptVersions is how many versions an instance keeps for differences: at 58 KB each, about 1 MB of the 64 MB per node.
const keptVersions = 16

// Options are what a manager depends on.
type Options struct {
	// Store holds the document. Without a store the document comes from Load alone, and edits are refused.
	Store topo.Store
	// ShouldWatch says whether this instance is one of those of its zone that watch the store. Nil means never.
	ShouldWatch func() bool
	// FetchFromPeer returns what Encoded returns at another instance. It is asked while there is no document and the store
	// has none or cannot be read. Nil means that there are no peers.
	FetchFromPeer func(ctx context.Context) ([]byte, error)
	Logger        *slog.Logger
	// Metrics gets the gauge config.version and the counters config.edits.accepted, config.edits.refused,
	// config.edits.unknown and config.documents.refused. It may be nil.
	Metrics metrics.Registry
}

// Manager keeps the document in force. It is safe for concurrent use.
type Manager struct {
	opts Options

	mu      sync.Mutex
	current *state // nil before the first document
	kept    []kept // versions before the current one, oldest first
	// seen is the highest revision of the key that this instance has taken note of.
	seen     int64
	from     string
	at       time.Time
	readErr  error
	readAt   time.Time
	refusals int64

	// notifyMu serialises callbacks. It is never taken while mu is held.
	notifyMu  sync.Mutex
	callbacks []func(*config.Document)
	notified  int64
}

// New returns a manager without a document.
func New(opts Options) *Manager {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Manager{opts: opts, notified: -1}
}

// Ready says whether this instance has a document.
func (m *Manager) Ready() bool { return m.Current() != nil }

// Current returns the document in force, or nil before the first one. It must not be changed.
func (m *Manager) Current() *config.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return nil
	}
	return m.current.doc
}

// Version returns the version in force; 0 before the first document.
func (m *Manager) Version() int64 {
	if doc := m.Current(); doc != nil {
		return doc.Version
	}
	return 0
}

// RawDocument returns the document in force as operators wrote it, or nil before the first one. It must not be changed.
func (m *Manager) RawDocument() *config.RawDocument {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return nil
	}
	return m.current.source
}

// PastVersion returns the document of one of the last 16 versions that were in force on this instance before the current one,
// or nil.
func (m *Manager) PastVersion(version int64) *config.Document {
	m.mu.Lock()
	all := slices.Clone(m.kept)
	m.mu.Unlock()
	for _, k := range all {
		if k.version == version {
			return k.document()
		}
	}
	return nil
}

// Previous returns the document that was in force on this instance before the current one, or nil.
func (m *Manager) Previous() *config.Document {
	m.mu.Lock()
	all := slices.Clone(m.kept)
	m.mu.Unlock()
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1].document()
}

// Encoded returns the version in force and its document for Offer at another instance; 0 and nil before the first one.
func (m *Manager) Encoded() (version int64, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return 0, nil
	}
	return m.current.doc.Version, m.current.encode()
}

// OnChange calls f with the document in force, if there is one, and after each change. Calls come one at a time, in
// order of versions, possibly skipping some. f must not call Edit, Seed, Offer, Load or OnChange.
func (m *Manager) OnChange(f func(*config.Document)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.callbacks = append(m.callbacks, f)
	if doc := m.Current(); doc != nil && doc.Version <= m.notified {
		f(doc)
	} else if doc != nil {
		m.notifyLocked(doc)
	}
}

// ApplyEncoded takes a document of a peer, as Encoded returned it there. It returns ErrOffer if it is unreadable or invalid. A
// version that is not higher than the one in force is no error and has no effect.
func (m *Manager) ApplyEncoded(version int64, data []byte) error {
	if current := m.Current(); current != nil && version <= current.Version {
		return nil
	}
	s, err := decodeState(data)
	if err == nil && s.doc.Version != version {
		err = fmt.Errorf("it has version %d, not %d", s.doc.Version, version)
	}
	if err != nil {
		m.refuse("peer", err)
		return fmt.Errorf("%w: %w", ErrInvalidPeerDocument, err)
	}
	m.accept(s, "peer")
	return nil
}

// Load puts a document from a file in force, for an instance without a store. It returns a config.ErrInvalid.
func (m *Manager) Load(data []byte) error {
	if _, err := config.Decode(data); err != nil {
		return err
	}
	source, err := config.ParseRawDocument(data)
	if err != nil {
		return err
	}
	source.Version = max(source.Version, 1)
	s, err := newState((&record{Source: *source}).encode(), 0)
	if err == nil {
		m.accept(s, "file")
	}
	return err
}

// accept moves to a state if its version is higher.
func (m *Manager) accept(s *state, from string) {
	m.mu.Lock()
	m.seen = max(m.seen, s.revision)
	if m.current != nil && s.doc.Version <= m.current.doc.Version {
		m.mu.Unlock()
		return
	}
	if m.current != nil {
		m.kept = append(m.kept, kept{version: m.current.doc.Version, value: m.current.value})
		m.kept = m.kept[max(0, len(m.kept)-keptVersions):]
	}
	m.current, m.from, m.at = s, from, time.Now()
	m.mu.Unlock()
	eventInForce.Log(context.Background(), m.opts.Logger, slog.Int64("version", s.doc.Version), slog.String("from", from))
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.notifyLocked(m.Current())
}

func (m *Manager) notifyLocked(doc *config.Document) {
	if doc.Version <= m.notified {
		return
	}
	m.notified = doc.Version
	metrics.GetOrRegisterGauge("config.version", m.opts.Metrics).Update(doc.Version)
	for _, f := range m.callbacks {
		f(doc)
	}
}

func (m *Manager) refuse(from string, err error) {
	m.mu.Lock()
	m.refusals++
	m.mu.Unlock()
	m.count("config.documents.refused")
	eventRefused.Log(context.Background(), m.opts.Logger, slog.String("from", from), slog.String("error", err.Error()))
}

func (m *Manager) count(name string) { metrics.GetOrRegisterCounter(name, m.opts.Metrics).Inc(1) }

// jitter returns a time from 0.8 to 1.2 of d, so that a fleet does not call in step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
