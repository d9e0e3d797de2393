package resume

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// readTimeout bounds a read of the record.
	readTimeout = 250 * time.Millisecond
	// readWait bounds the wait for a read, which may begin after another one.
	readWait = 300 * time.Millisecond
	// readPatience is the time after which peers are asked for the record as well. An instance that does not hear from the store
	// asks them at once.
	readPatience = 100 * time.Millisecond
	// readersAsked is the number of instances of the zone, and of all others, that are asked for the record.
	readersAsked = 3
)

// errNoReader means that no peer has read the record.
var errNoReader = errors.New("resume: no peer has read the record of versions")

// fresh is a record that was read from the store after it was asked for.
type fresh struct {
	record *record
	// how is OneVersionByStore or OneVersionByPeers.
	how string
	err error
}

// readFresh reads the record from the store, itself or through peers.
func (s *Service) readFresh(ctx context.Context) fresh {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	results := make(chan fresh, 2)
	go func() { results <- s.readOwn(ctx) }()
	patience := readPatience
	if !s.opts.InTouch() {
		patience = 0
	}
	var own fresh
	select {
	case own = <-results:
		if own.err == nil {
			return own
		}
	case <-time.After(patience):
	}
	go func() {
		found, err := s.peerReads.do(ctx)
		results <- fresh{found, OneVersionByPeers, err}
	}()
	left := 2
	if own.err != nil {
		left = 1
	}
	var last fresh
	for range left {
		if last = <-results; last.err == nil {
			return last
		}
	}
	return last
}

// readOwn reads the record from the store itself.
func (s *Service) readOwn(ctx context.Context) fresh {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	found, err := s.reads.do(ctx)
	return fresh{found, OneVersionByStore, err}
}

// readRecord reads the record from the store. The record is nil if the store has no readable one.
func (s *Service) readRecord(ctx context.Context) (*record, error) {
	entry, err := s.opts.Store.Get(ctx, recordKey)
	if err != nil && !errors.Is(err, topo.ErrNotFound) {
		return nil, err
	}
	found := s.decode(entry)
	s.versions.setRecorded(time.Now(), entry.Revision, found)
	return found, nil
}

// readByPeers has peers read the record from the store, those of the zone first. All instances of a zone ask the same ones, which
// read it once for all that wait.
func (s *Service) readByPeers(ctx context.Context) (*record, error) {
	zone, others := s.opts.Homes(recordKey)
	for _, step := range []struct {
		readers []string
		timeout time.Duration
	}{{zone[:min(len(zone), readersAsked)], zoneTimeout}, {others[:min(len(others), readersAsked)], othersTimeout}} {
		question := &peerpb.FindOrigin{Record: true}
		if answer := s.askAll(ctx, step.readers, step.timeout, question, func(a *peerpb.FoundOrigin) bool { return len(a.GetRecord()) > 0 }); answer != nil {
			found := newRecord()
			if err := json.Unmarshal(answer.GetRecord(), found); err != nil {
				return nil, errors.Wrap(err, "resume: decode a peer's record")
			}
			return found, nil
		}
	}
	return nil, errNoReader
}

// handleRecord serves an instance that cannot read the record itself.
func (s *Service) handleRecord(ctx context.Context) *peerpb.FoundOrigin {
	found, err := s.reads.do(ctx)
	if err != nil || found == nil || s.versions.doubted(time.Now()) {
		return &peerpb.FoundOrigin{}
	}
	value, err := json.Marshal(found)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "resume: encode the record as JSON"))
	}
	return &peerpb.FoundOrigin{Record: value}
}
