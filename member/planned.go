package member

import (
	"time"

	"rhubarbpoint/peer/peerpb"
)

// exclusionRenewal is the remaining time of an exclusion below which it is published again. It allows for two lost
// pushes.
const exclusionRenewal = 8 * time.Second

// ExcludeUpstream excludes an upstream from new work on every instance until the given time, because of a planned
// change. A zero time ends the exclusion. While an exclusion that this instance published has more than
// exclusionRenewal left, further calls with a nonzero time are not published.
func (s *Service) ExcludeUpstream(upstream string, until time.Time) {
	now := time.Now()
	s.mu.Lock()
	record := s.recordExclusion(upstream, until, now)
	s.mu.Unlock()
	if record != nil {
		s.forward(&peerpb.Records{Planned: []*peerpb.UpstreamPlanned{record}}, "")
	}
}

// recordExclusion stores an exclusion and passes it to routing. It returns the record to push, or nil if the current
// exclusion lasts long enough. The lock is held.
func (s *Service) recordExclusion(upstream string, until, now time.Time) *peerpb.UpstreamPlanned {
	k := key{kindPlanned, upstream}
	if old := s.table.entries[k]; old != nil && !until.IsZero() && old.origin == s.opts.ID {
		if left := exclusionTime(old.msg.(*peerpb.UpstreamPlanned)) - now.Sub(old.updatedAt); left > exclusionRenewal {
			return nil
		}
	}
	record := &peerpb.UpstreamPlanned{Upstream: upstream, Seq: s.table.nextSeq(k), Origin: s.opts.ID}
	if until.After(now) {
		record.ForMillis = uint32(until.Sub(now).Milliseconds())
	}
	s.table.merge(now, "", exclusionEntry(record))
	s.applyExclusion(record, now)
	return record
}

// applyExclusion passes an exclusion to routing. The lock is held.
func (s *Service) applyExclusion(p *peerpb.UpstreamPlanned, now time.Time) {
	var until time.Time
	if p.GetForMillis() > 0 {
		until = now.Add(exclusionTime(p))
	}
	s.opts.SetPlanned(now, p.GetUpstream(), until)
}

// exclusionTime returns how long an exclusion lasts from its receipt on.
func exclusionTime(p *peerpb.UpstreamPlanned) time.Duration {
	return time.Duration(p.GetForMillis()) * time.Millisecond
}
