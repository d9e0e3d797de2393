package member

import (
	"time"

	"rhubarbpoint/peer/peerpb"
)

// plannedRenewal is the time left at which an exclusion is sent again. It leaves time for two lost pushes.
const plannedRenewal = 8 * time.Second

// ExcludeUpstream tells every instance that an upstream gets no new work until the given time, because of a planned change;
// a zero time ends that. Calls that hardly extend an exclusion are not sent.
func (s *Service) ExcludeUpstream(upstream string, until time.Time) {
	now := time.Now()
	s.mu.Lock()
	record := s.notePlanned(upstream, until, now)
	s.mu.Unlock()
	if record != nil {
		s.forward(&peerpb.Records{Planned: []*peerpb.UpstreamPlanned{record}}, "")
	}
}

// notePlanned returns the record to push, or nil if an earlier one is in force for long enough. The lock is held.
func (s *Service) notePlanned(upstream string, until, now time.Time) *peerpb.UpstreamPlanned {
	k := key{kindPlanned, upstream}
	if old := s.table.entries[k]; old != nil && !until.IsZero() && old.origin == s.opts.ID {
		if left := plannedTime(old.msg.(*peerpb.UpstreamPlanned)) - now.Sub(old.at); left > plannedRenewal {
			return nil
		}
	}
	record := &peerpb.UpstreamPlanned{Upstream: upstream, Seq: s.table.next(k), Origin: s.opts.ID}
	if until.After(now) {
		record.ForMillis = uint32(until.Sub(now).Milliseconds())
	}
	s.table.merge(now, "", plannedEntry(record))
	s.applyPlanned(record, now)
	return record
}

// applyPlanned hands an exclusion to routing. The lock is held.
func (s *Service) applyPlanned(p *peerpb.UpstreamPlanned, now time.Time) {
	var until time.Time
	if p.GetForMillis() > 0 {
		until = now.Add(plannedTime(p))
	}
	s.opts.SetPlanned(now, p.GetUpstream(), until)
}

func plannedTime(p *peerpb.UpstreamPlanned) time.Duration {
	return time.Duration(p.GetForMillis()) * time.Millisecond
}
