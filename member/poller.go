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
	stopAt  time.Time // when to stop; set once another instance polls the engine
}

// assignPollers starts and stops pollers after a change of the membership or the document. An engine is polled by the
// instance to which rendezvous hashing assigns it. The previous instance continues to poll for pollOverlap, so that no
// report is missed.
func (s *Service) assignPollers(ctx context.Context) {
	doc := s.opts.Document()
	if doc == nil || s.opts.Engines == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, p := range s.pollers {
		if !p.stopAt.IsZero() && !now.Before(p.stopAt) {
			p.cancel()
			delete(s.pollers, id)
		}
	}
	if s.generation == s.polledGeneration && doc == s.polledDoc {
		return
	}
	s.polledGeneration, s.polledDoc = s.generation, doc
	assigned := s.assignedEngines(doc, now)
	for id, p := range s.pollers {
		if e, remains := assigned[id]; remains && e.Address == p.address {
			p.stopAt = time.Time{}
			delete(assigned, id)
		} else if remains {
			p.cancel()
			delete(s.pollers, id)
		} else if p.stopAt.IsZero() {
			p.stopAt = now.Add(pollOverlap)
		}
	}
	for id, e := range assigned {
		pollCtx, cancel := context.WithCancel(ctx)
		s.pollers[id] = &poller{address: e.Address, cancel: cancel}
		s.jobs.run(func() { s.poll(pollCtx, e) })
	}
}

// assignedEngines returns the engines that this instance polls. Candidates for an engine are the members of its zone
// that are not suspected, or those of its region if the zone has none.
func (s *Service) assignedEngines(doc *config.Document, now time.Time) map[string]config.Engine {
	byZone, byRegion := make(map[string][]string), make(map[string][]string)
	for _, m := range s.live(func(m *peerpb.Member, p *presence) bool { return !s.suspected(m.GetId(), p, now) }) {
		zone := m.GetRegion() + "/" + m.GetZone()
		byZone[zone] = append(byZone[zone], m.GetId())
		byRegion[m.GetRegion()] = append(byRegion[m.GetRegion()], m.GetId())
	}
	assigned := make(map[string]config.Engine)
	for _, e := range doc.Models.Engines {
		candidates := byZone[e.Region+"/"+e.Zone]
		if len(candidates) == 0 {
			candidates = byRegion[e.Region]
		}
		if slices.Contains(candidates, s.opts.ID) && rendezvous(e.ID, candidates) == s.opts.ID {
			assigned[e.ID] = e
		}
	}
	return assigned
}

func (s *Service) stopPollers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pollers {
		p.cancel()
		delete(s.pollers, id)
	}
}

// poll requests the load report and the cache events of one engine each second. Cache events stay on this instance: at
// 2,200 GB/s of KV cache, 100 kB per token and 4,000 tokens per prefix block, the events of a zone would cost about
// 18 kB/s to each of its instances, more than the whole bandwidth allowance of an instance.
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
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		report, err := s.opts.Engines.Load(callCtx, e.Address)
		if err == nil {
			seq = s.recordLoad(e.ID, report, seq)
			if events, err := s.opts.Engines.CacheEvents(callCtx, e.Address, after); err == nil {
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

// recordLoad passes a load report that this instance has polled to the sink. It also publishes the report as a record
// if the stored record differs significantly or is older than unchangedLoadRefresh. It returns the sequence number of
// the report, which is higher than the last one, or the last one if there is no document or report.
func (s *Service) recordLoad(upstream string, r *engine.LoadReport, last uint64) uint64 {
	doc := s.opts.Document()
	if doc == nil || r == nil {
		return last
	}
	load := newLoadRecord(upstream, r, modelIndexes(doc))
	s.mu.Lock()
	now := time.Now()
	load.Reporter = s.opts.ID
	load.Seq = max(s.table.nextSeq(key{kindLoad, upstream}), last+1)
	stored := s.table.entries[key{kindLoad, upstream}]
	if stored == nil || now.Sub(stored.updatedAt) >= unchangedLoadRefresh ||
		significantChange(stored.msg.(*peerpb.UpstreamLoad), load) {
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
