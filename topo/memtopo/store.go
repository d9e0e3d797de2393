// Package memtopo implements the platform in memory, with injected faults. Tests use it in place of the platform, and
// the platform stand-in serves it over HTTP.
package memtopo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbpoint/topo"
)

// Store is a key-value service in memory. It is safe for concurrent use. Leases expire by time.Now, so that it can
// run in the virtual time of testing/synctest.
type Store struct {
	faults Faults

	mu        sync.Mutex
	era       int64 // 0 until the store is restored, as of a store that names none
	content   content
	nextLease topo.LeaseID
	changed   chan struct{} // closed and replaced at each change
	calls     map[topo.Op]int64
}

// content is what a copy of the store holds. Its revisions are counted within the era.
type content struct {
	revision  int64
	entries   map[string]topo.Entry
	deleted   map[string]int64 // revision of deletion, for watches
	compacted int64            // watches from an earlier revision fail
	leases    map[topo.LeaseID]lease
}

var _ topo.Store = (*Store)(nil)

// New returns an empty store. A nil faults injects none.
func New(faults Faults) *Store {
	if faults == nil {
		faults = NoFaults{}
	}
	return &Store{
		faults: faults,
		content: content{
			entries: make(map[string]topo.Entry), deleted: make(map[string]int64), leases: make(map[topo.LeaseID]lease),
		},
		changed: make(chan struct{}),
		calls:   make(map[topo.Op]int64),
	}
}

// Calls returns how many calls of each kind were made.
func (s *Store) Calls() map[topo.Op]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[topo.Op]int64, len(s.calls))
	for op, n := range s.calls {
		counts[op] = n
	}
	return counts
}

// Get implements topo.Store.
func (s *Store) Get(ctx context.Context, key string) (topo.Entry, error) {
	var found topo.Entry
	err := s.do(ctx, topo.OpGet, key, func() error {
		e, ok := s.content.entries[key]
		if !ok {
			return topo.ErrNotFound
		}
		found = s.present(e)
		return nil
	})
	return found, err
}

// List implements topo.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	var found []topo.Entry
	var revision int64
	err := s.do(ctx, topo.OpList, prefix, func() error {
		for key, e := range s.content.entries {
			if strings.HasPrefix(key, prefix) {
				found = append(found, s.present(e))
			}
		}
		revision = topo.Revision(s.era, s.content.revision)
		return nil
	})
	slices.SortFunc(found, func(a, b topo.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, revision, err
}

// Put implements topo.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect int64, id topo.LeaseID) (int64, error) {
	if len(value) > topo.MaxValueBytes {
		return 0, topo.ErrTooLarge
	}
	value = append([]byte{}, value...)
	var revision int64
	err := s.do(ctx, topo.OpPut, key, func() error {
		old, exists := s.content.entries[key]
		if !s.matches(old, expect) {
			return topo.ErrConflict
		}
		if _, found := s.content.leases[id]; id != 0 && !found {
			return topo.ErrLeaseNotFound
		}
		count := s.advanceRevision()
		created := count
		if exists {
			created = old.Created
		}
		delete(s.content.deleted, key)
		s.content.entries[key] = topo.Entry{Key: key, Value: value, Revision: count, Created: created, Lease: id}
		revision = topo.Revision(s.era, count)
		return nil
	})
	if err != nil {
		return 0, err // a late write may still set revision
	}
	return revision, nil
}

// Delete implements topo.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	return s.do(ctx, topo.OpDelete, key, func() error {
		old, exists := s.content.entries[key]
		if !exists {
			return topo.ErrNotFound
		}
		if !s.matches(old, expect) {
			return topo.ErrConflict
		}
		s.remove(key)
		return nil
	})
}

// Watch implements topo.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	op := topo.OpWatch
	for {
		var found []topo.Entry
		var last int64
		var changed chan struct{}
		err := s.do(ctx, op, prefix, func() error {
			switch {
			case after != 0 && topo.Era(after) != s.era:
				return topo.ErrRestored
			case topo.Count(after) < s.content.compacted, topo.Count(after) > s.content.revision:
				return topo.ErrCompacted
			}
			found, last, changed = s.changedSince(prefix, topo.Count(after)), topo.Revision(s.era, s.content.revision), s.changed
			return nil
		})
		if err != nil || len(found) > 0 {
			return found, last, err
		}
		op = topo.OpNone // later rounds belong to the same call and are not counted
		select {
		case <-changed:
		case <-timer.C:
			return nil, last, nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", topo.ErrUnavailable, ctx.Err())
		}
	}
}

// Compact discards the history: watches from an earlier revision fail with topo.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.compacted = s.content.revision
	s.content.deleted = make(map[string]int64)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) changedSince(prefix string, after int64) []topo.Entry {
	var found []topo.Entry
	for key, e := range s.content.entries {
		if e.Revision > after && strings.HasPrefix(key, prefix) {
			found = append(found, s.present(e))
		}
	}
	for key, revision := range s.content.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			found = append(found, topo.Entry{Key: key, Revision: topo.Revision(s.era, revision)})
		}
	}
	slices.SortFunc(found, func(a, b topo.Entry) int { return int(a.Revision - b.Revision) })
	return found
}

// do counts a call, injects its fault and runs it under the lock.
func (s *Store) do(ctx context.Context, op topo.Op, key string, run func() error) error {
	fault := s.faults.Next(op, key)
	s.countCall(op)
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return s.interrupted(op, fault, run)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	}
	if fault.Refuse {
		return topo.ErrUnavailable
	}
	if fault.LoseResponse && fault.LateBy > 0 && op.Writes() {
		s.executeLate(fault.LateBy, run)
		return topo.ErrAmbiguous
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	err := run()
	switch {
	case fault.LoseResponse && op.Writes():
		return topo.ErrAmbiguous
	case fault.LoseResponse:
		return topo.ErrUnavailable
	}
	return err
}

func (s *Store) countCall(op topo.Op) {
	if op == topo.OpNone {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op]++
}

// interrupted returns the error of a call whose caller gave up during the delay. A write may still be executed later.
func (s *Store) interrupted(op topo.Op, fault Fault, run func() error) error {
	if !op.Writes() {
		return topo.ErrUnavailable
	}
	if fault.LateBy > 0 {
		s.executeLate(fault.LateBy, run)
	}
	return topo.ErrAmbiguous
}

// executeLate executes a write after its caller got topo.ErrAmbiguous.
func (s *Store) executeLate(after time.Duration, run func() error) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeasesLocked()
		_ = run()
	})
}

func (s *Store) advanceRevision() int64 {
	s.content.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.content.revision
}

func (s *Store) remove(key string) {
	delete(s.content.entries, key)
	s.content.deleted[key] = s.advanceRevision()
}

// matches reports whether the last change of an entry has the expected revision; both are zero for a key without one.
func (s *Store) matches(e topo.Entry, expect int64) bool {
	if e.Revision == 0 || expect == 0 {
		return e.Revision == expect
	}
	return topo.Revision(s.era, e.Revision) == expect
}

// present returns a copy of an entry with the revisions of the present era.
func (s *Store) present(e topo.Entry) topo.Entry {
	e.Value = append([]byte{}, e.Value...)
	e.Revision, e.Created = topo.Revision(s.era, e.Revision), topo.Revision(s.era, e.Created)
	return e
}
