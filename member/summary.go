package member

import (
	"cmp"
	"slices"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// summaryAge is the age beyond which a load record says nothing about its upstream.
const summaryAge = 30 * time.Second

// summarise publishes the summary of the own zone when this instance is the one to do so: every summaryRefresh, and at
// once when engines come, go or begin to leave. Sums over a zone change slowly, and each summary goes to every instance
// of the fleet. The lock is held.
func (s *Service) summarise(now time.Time) {
	zone, _ := s.groups()
	name := s.opts.Region + "/" + s.opts.Zone
	if rendezvous("summary/"+name, zone) != s.opts.ID {
		return
	}
	k := key{kindZone, name}
	summary := &peerpb.ZoneSummary{Region: s.opts.Region, Zone: s.opts.Zone, Models: s.capacities(now)}
	if old := s.table.entries[k]; old != nil {
		last := old.msg.(*peerpb.ZoneSummary)
		summary.Seq, summary.Origin = last.GetSeq(), last.GetOrigin()
		if now.Sub(old.at) < summaryRefresh && sameEngines(last.GetModels(), summary.GetModels()) {
			return
		}
	} else if len(summary.Models) == 0 {
		return
	}
	summary.Seq, summary.Origin = s.table.next(k), s.opts.ID
	s.table.merge(now, "", zoneEntry(summary))
}

func sameEngines(a, b []*peerpb.ModelCapacity) bool {
	return slices.EqualFunc(a, b, func(a, b *peerpb.ModelCapacity) bool {
		return a.GetModel() == b.GetModel() && a.GetEngines() == b.GetEngines() && a.GetLeaving() == b.GetLeaving()
	})
}

// capacities adds up the load records of the zone for each model.
func (s *Service) capacities(now time.Time) []*peerpb.ModelCapacity {
	models := make(map[uint32]*peerpb.ModelCapacity)
	for k, e := range s.table.entries {
		if k.kind != kindLoad || now.Sub(e.at) > summaryAge {
			continue
		}
		load := e.msg.(*peerpb.UpstreamLoad)
		leaving := load.GetDraining()
		if l := s.table.entries[key{kindLeaving, k.id}]; l != nil {
			leaving = leaving || l.msg.(*peerpb.UpstreamLeaving).GetEpochHash() == load.GetEpochHash()
		}
		for _, index := range load.GetModels() {
			m := models[index]
			if m == nil {
				m = &peerpb.ModelCapacity{Model: index}
				models[index] = m
			}
			if leaving {
				m.Leaving++
				continue
			}
			m.Engines++
			m.WaitingTokens += load.GetWaitingTokens()
			m.Running += load.GetRunning()
			m.MaxRunning += load.GetMaxRunning()
			m.PrefillTokensPerSecond += load.GetPrefillTokensPerSecond()
		}
	}
	list := make([]*peerpb.ModelCapacity, 0, len(models))
	for _, m := range models {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *peerpb.ModelCapacity) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	return list
}
