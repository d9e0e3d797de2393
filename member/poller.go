package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// poller polls one engine until it is stopped.
type poller struct {
	address string
	cancel  context.CancelFunc
	until   time.Time // set when another instance has taken over
}

// assignPollers starts and stops pollers after a change of the membership or the document. An engine is polled by the
// instance that wins its rendezvous hash; the former poller goes on for pollOverlap, so that no report is missed.
func (s *Service) assignPollers(ctx context.Context) {
	doc := s.opts.Document()
	if doc == nil || s.opts.Engines == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, p := range s.pollers {
		if !p.until.IsZero() && !now.Before(p.until) {
			p.cancel()
			delete(s.pollers, id)
		}
	}
	if s.generation == s.polled && doc == s.polledDoc {
		return
	}
	s.polled, s.polledDoc = s.generation, doc
	mine := s.ownEngines(doc, now)
	for id, p := range s.pollers {
		if e, stays := mine[id]; stays && e.Address == p.address {
			p.until = time.Time{}
			delete(mine, id)
		} else if stays {
			p.cancel()
			delete(s.pollers, id)
		} else if p.until.IsZero() {
			p.until = now.Add(pollOverlap)
		}
	}
	for id, e := range mine {
		run, cancel := context.WithCancel(ctx)
		s.pollers[id] = &poller{address: e.Address, cancel: cancel}
		s.jobs.run(func() { s.poll(run, e) })
	}
}

// ownEngines returns the engines that this instance polls. Candidates are the members of the engine's zone that are
// not suspected, or those of its region when the zone has none.
func (s *Service) ownEngines(doc *config.Document, now time.Time) map[string]config.Engine {
	byZone, byRegion := make(map[string][]string), make(map[string][]string)
	for _, m := range s.live(func(m *peerpb.Member, p *presence) bool { return !s.suspected(m.GetId(), p, now) }) {
		zone := m.GetRegion() + "/" + m.GetZone()
		byZone[zone] = append(byZone[zone], m.GetId())
		byRegion[m.GetRegion()] = append(byRegion[m.GetRegion()], m.GetId())
	}
	mine := make(map[string]config.Engine)
	for _, e := range doc.Models.Engines {
		candidates := byZone[e.Region+"/"+e.Zone]
		if len(candidates) == 0 {
			candidates = byRegion[e.Region]
		}
		if slices.Contains(candidates, s.opts.ID) && rendezvous(e.ID, candidates) == s.opts.ID {
			mine[e.ID] = e
		}
	}
	return mine
}

func (s *Service) stopPollers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pollers {
		p.cancel()
		delete(s.pollers, id)
	}
}

// poll asks one engine for its load and cache events each second. Cache events stay on this instance: at 2,200 GB/s of
// KV cache, 100 kB for each token and 4,000 tokens for each piece, a zone's events would be some 18 kB/s to every one
// of its instances, more than the whole allowance.
func (s *Service) poll(ctx context.Context, e config.Engine) {
	after, epoch, seq := uint64(0), "", uint64(0)
	wait := rand.N(pollInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = jitter(pollInterval)
		s.stats.polls.Inc(1)
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		report, err := s.opts.Engines.Load(call, e.Address)
		if err == nil {
			seq = s.report(e.ID, report, seq)
			if events, err := s.opts.Engines.CacheEvents(call, e.Address, after); err == nil {
				if events.Epoch != epoch {
					epoch, after = events.Epoch, 0
				}
				after = max(after, events.Last)
				s.opts.Sink.UpdateCache(e.ID, events)
			}
		} else {
			s.stats.pollsFailed.Inc(1)
		}
		cancel()
	}
}

// report takes a load report of this instance's own and publishes it if it is news. It returns the sequence number of
// the record, above that of the last one.
func (s *Service) report(upstream string, r *engine.LoadReport, last uint64) uint64 {
	doc := s.opts.Document()
	if doc == nil || r == nil {
		return last
	}
	load := condense(upstream, r, modelIndexes(doc))
	s.mu.Lock()
	now := time.Now()
	load.Reporter = s.opts.ID
	load.Seq = max(s.table.next(key{kindLoad, upstream}), last+1)
	held := s.table.entries[key{kindLoad, upstream}]
	if held == nil || now.Sub(held.at) >= unchangedRefresh || material(held.msg.(*peerpb.UpstreamLoad), load) {
		s.mergeLoad("", load, now)
	} else {
		s.opts.Sink.UpdateLoad(now, load)
	}
	s.mu.Unlock()
	if r.Draining {
		s.MarkUpstreamLeaving(upstream, load.GetEpochHash())
	}
	return load.GetSeq()
}
