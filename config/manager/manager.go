// Package manager keeps the configuration document in force on this instance, and edits the one in the store.
//
// The store holds the whole document as one value, so that a compare-and-swap applies an edit only if the sections that
// it was checked against have not changed. An instance learns of a version by a watch, by its read each minute, from a
// peer or by its own edit, in any order and possibly more than once. It only moves to higher versions, so none of these
// paths can revert an accepted edit.
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

// maxPastVersions is how many earlier versions an instance keeps, to compare them with the current one: at 58 KB each,
// about 1 MB of the 64 MB per node.
const maxPastVersions = 16

// Options configures a Manager.
type Options struct {
	// Store holds the document. Without a store the document comes from Load alone, and edits are refused.
	Store topo.Store
	// ShouldWatch reports whether this instance is one of those of its zone that watch the store. Nil means that it
	// never is.
	ShouldWatch func() bool
	// FetchFromPeer fetches what Encoded returns at another instance. It is called while this instance has no document
	// and the store has none or cannot be read. Nil means that there are no peers.
	FetchFromPeer func(ctx context.Context) ([]byte, error)
	Logger        *slog.Logger
	// Metrics is where the gauge config.version and the counters config.edits.accepted, config.edits.refused,
	// config.edits.unknown and config.documents.refused are registered. It may be nil.
	Metrics metrics.Registry
}

// Manager keeps the document in force. It is safe for concurrent use.
type Manager struct {
	opts Options

	mu      sync.Mutex
	current *state        // nil before the first document
	past    []pastVersion // versions before the current one, oldest first
	// seenRevision is the highest revision of the key that this instance has read, or received from a peer, or written.
	seenRevision int64
	origin       string // of the current document: "store", "peer", "file" or "edit"
	inForceSince time.Time
	lastReadErr  error
	lastRead     time.Time
	refusals     int64
	// documentLost is set while the document in force must be written into a restored store again.
	documentLost bool

	// notifyMu serialises the callbacks. It is never locked while mu is held.
	notifyMu        sync.Mutex
	callbacks       []func(*config.Document)
	notifiedVersion int64
}

// New returns a manager without a document.
func New(opts Options) *Manager {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Manager{opts: opts, notifiedVersion: -1}
}

// Ready reports whether this instance has a document.
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
	return m.current.raw
}

// PastVersion returns the document of one of the last 16 versions that were in force on this instance before the
// current one, or nil.
func (m *Manager) PastVersion(version int64) *config.Document {
	m.mu.Lock()
	all := slices.Clone(m.past)
	m.mu.Unlock()
	for _, p := range all {
		if p.version == version {
			return p.document()
		}
	}
	return nil
}

// Previous returns the document that was in force on this instance before the current one, or nil.
func (m *Manager) Previous() *config.Document {
	m.mu.Lock()
	all := slices.Clone(m.past)
	m.mu.Unlock()
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1].document()
}

// Encoded returns the version in force and the encoded document, to be passed to ApplyEncoded at another instance; 0
// and nil before the first one.
func (m *Manager) Encoded() (version int64, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return 0, nil
	}
	return m.current.doc.Version, m.current.encode()
}

// OnChange calls f with the document in force, if there is one, and after each change. The calls are made one at a time
// in the order of versions, of which some may be skipped. f must not call Edit, Seed, ApplyEncoded, Load or OnChange.
func (m *Manager) OnChange(f func(*config.Document)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.callbacks = append(m.callbacks, f)
	if doc := m.Current(); doc != nil && doc.Version <= m.notifiedVersion {
		f(doc)
	} else if doc != nil {
		m.notifyLocked(doc)
	}
}

// ApplyEncoded puts a document in force that Encoded returned at a peer. It returns ErrInvalidPeerDocument if the
// document is unreadable, invalid or of another version. A version that is not higher than the one in force has no
// effect and is no error.
func (m *Manager) ApplyEncoded(version int64, data []byte) error {
	if current := m.Current(); current != nil && version <= current.Version {
		return nil
	}
	s, err := decodeState(data)
	if err == nil && s.doc.Version != version {
		err = fmt.Errorf("document has version %d, want %d", s.doc.Version, version)
	}
	if err != nil {
		m.reportRefusal("peer", err)
		return fmt.Errorf("%w: %w", ErrInvalidPeerDocument, err)
	}
	m.advance(s, "peer")
	return nil
}

// Load puts a document from a file in force, on an instance without a store. It returns config.ErrInvalid.
func (m *Manager) Load(data []byte) error {
	if _, err := config.Decode(data); err != nil {
		return err
	}
	raw, err := config.ParseRawDocument(data)
	if err != nil {
		return err
	}
	raw.Version = max(raw.Version, 1)
	s, err := newState((&record{Raw: *raw}).encode(), 0)
	if err == nil {
		m.advance(s, "file")
	}
	return err
}

// advance puts a state in force if its version is higher than the current one, and notifies the callbacks.
func (m *Manager) advance(s *state, origin string) {
	m.mu.Lock()
	m.seenRevision = max(m.seenRevision, s.revision)
	if m.current != nil && s.doc.Version <= m.current.doc.Version {
		m.mu.Unlock()
		return
	}
	if m.current != nil {
		m.past = append(m.past, pastVersion{version: m.current.doc.Version, value: m.current.value})
		m.past = m.past[max(0, len(m.past)-maxPastVersions):]
	}
	m.current, m.origin, m.inForceSince = s, origin, time.Now()
	m.mu.Unlock()
	eventInForce.Log(context.Background(), m.opts.Logger, slog.Int64("version", s.doc.Version), slog.String("from", origin))
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.notifyLocked(m.Current())
}

// notifyLocked calls the callbacks unless they have been called with this or a higher version. notifyMu must be held.
func (m *Manager) notifyLocked(doc *config.Document) {
	if doc.Version <= m.notifiedVersion {
		return
	}
	m.notifiedVersion = doc.Version
	metrics.GetOrRegisterGauge("config.version", m.opts.Metrics).Update(doc.Version)
	for _, f := range m.callbacks {
		f(doc)
	}
}

// reportRefusal counts and logs a document that is unreadable or invalid.
func (m *Manager) reportRefusal(origin string, err error) {
	m.mu.Lock()
	m.refusals++
	m.mu.Unlock()
	m.count("config.documents.refused")
	eventRefused.Log(context.Background(), m.opts.Logger, slog.String("from", origin), slog.String("error", err.Error()))
}

func (m *Manager) count(name string) { metrics.GetOrRegisterCounter(name, m.opts.Metrics).Inc(1) }

// jitter returns a duration from 0.8 to 1.2 times d, so that the instances do not call the store at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
