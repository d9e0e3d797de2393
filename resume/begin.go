package resume

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer/peerpb"
)

const (
	// recordWait bounds the wait for the record before the first event of a stream.
	recordWait = 400 * time.Millisecond
	// writerLead is the time that the writers of the record have for a version before other instances write it, which then
	// mostly find it written.
	writerLead = 60 * time.Millisecond
	// waitSpread is the longest random delay before an instance writes the record for a stream that waits.
	waitSpread = 40 * time.Millisecond
	// maxConflicts bounds the writes of other instances that a wait for the record survives.
	maxConflicts = 5
)

// staleTime is how long an instance begins streams by what it knows of the record after it has lost the store.
const staleTime = 10 * time.Second

// Begin records that the first event of a stream has come from a replica of a version, before the caller gets it. The caller of
// the request with the ID waits until the deadline. Begin returns once the store has the version in its record or, while the store
// does not answer, once a home of the stream knows it. It returns ErrNotRecorded if the caller must not get the event, also if the
// stream may have begun at another version, or the error of the context.
func (s *Service) Begin(ctx context.Context, service, id, version string, deadline time.Time) error {
	now := time.Now()
	if earlier, known := s.origins.find(now, id); known && earlier.version != version && (earlier.service == "" || earlier.service == service) {
		return errors.Wrapf(ErrNotRecorded, "version %q of a stream at version %q", version, earlier.version)
	}
	s.versions.extend(deadline.Sub(now))
	s.versions.begin(now, serviceVersion{service, version})
	found := origin{service: service, version: version, expires: deadline, told: s.mustTell(now, service)}
	recorded := s.versions.isListed(service, version)
	if !recorded {
		recorded = s.awaitRecorded(ctx, serviceVersion{service, version})
	}
	if recorded && s.isStale() && s.ambiguous(now, service) {
		recorded = false // others may have removed the version meanwhile
	}
	found.told = found.told || !recorded
	s.origins.put(id, found)
	if !recorded {
		// A home may know this version although its answer is lost, so the stream cannot begin at another one after an error.
		if err := s.tellAtOnce(ctx, id, found); err != nil {
			return err
		}
		s.tellOtherZones(id, found)
	}
	if found.told {
		s.tell(id, found)
	}
	return nil
}

// awaitRecorded waits until the record is known to have a version, and writes it unless another instance does so soon.
func (s *Service) awaitRecorded(ctx context.Context, v serviceVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	s.wakeRecorder()
	if s.recordFailedLately() {
		return false
	}
	lead := writerLead
	if s.opts.Writes() {
		lead = 0
	}
	s.versions.waitListed(ctx, v, time.Until(s.versions.firstSeen(v).Add(lead))+rand.N(waitSpread))
	for range maxConflicts {
		if s.versions.isListed(v.service, v.version) {
			return true
		}
		if _, err := s.writes.do(ctx); err != nil {
			break
		}
		if !s.versions.isListed(v.service, v.version) {
			sleep.For(ctx, rand.N(waitSpread))
		}
	}
	return s.versions.isListed(v.service, v.version)
}

// isStale reports whether this instance has not followed the store for longer than staleTime.
func (s *Service) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Clock().Sub(s.touchedAt) > staleTime
}

// tellOtherZones tells the homes of other zones of a stream whose version is not recorded: there, an instance that has not seen the
// version would go by the record.
func (s *Service) tellOtherZones(id string, found origin) {
	_, others := s.opts.Homes(id)
	for _, home := range others {
		s.outboxes.add(home, id, found)
	}
}

// tellAtOnce tells the homes of a stream and waits for the first that has received it.
func (s *Service) tellAtOnce(ctx context.Context, id string, found origin) error {
	zone, others := s.opts.Homes(id)
	for _, step := range []struct {
		homes   []string
		timeout time.Duration
	}{{zone[:min(len(zone), homesTold)], zoneTimeout}, {others[:min(len(others), homesTold)], othersTimeout}} {
		if s.tellAny(ctx, step.homes, step.timeout, id, found) {
			return nil
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.count("not_recorded")
	return errors.Wrapf(ErrNotRecorded, "version %q of service %q", found.version, found.service)
}

func (s *Service) tellAny(ctx context.Context, homes []string, timeout time.Duration, id string, found origin) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	received := make(chan bool, len(homes))
	push := &peerpb.Request{Call: &peerpb.Request_PushOrigins{PushOrigins: encode(time.Now(), map[string]origin{id: found})}}
	for _, home := range homes {
		go func() {
			_, err := s.opts.Peers.Call(ctx, home, push)
			received <- err == nil
		}()
	}
	for range homes {
		if <-received {
			return true
		}
	}
	return false
}

// mustTell reports whether the homes of a stream of a service must know where it began: an instance where it is taken up may not
// be able to tell by the record. In a store that was restored, others may doubt the record although this instance, which may have
// started later, does not.
func (s *Service) mustTell(now time.Time, service string) bool {
	return !s.opts.InTouch() || s.versions.isRestored() || s.ambiguous(now, service)
}

// Listed tells of a replica that has been listed, so that its version is recorded before a stream begins there.
func (s *Service) Listed(service, version string) {
	if s.versions.seeOne(time.Now(), serviceVersion{service, version}) {
		s.wakeRecorder()
	}
}

// Recorded returns the versions of a service that are recorded, at which a stream can begin without a wait. all is set if these are
// all versions that serve.
func (s *Service) Recorded(service string) (versions []string, all bool) {
	versions, all = s.versions.listed(time.Now(), service)
	if !all && s.opts.Writes() && !s.recordFailedLately() {
		s.wakeRecorder()
	}
	return versions, all
}

func (s *Service) wakeRecorder() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
