package member

import (
	"cmp"
	"slices"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// maxSummarizedLoadAge is the age above which a load record no longer describes its upstream and is not summarized.
const maxSummarizedLoadAge = 30 * time.Second

// publishZoneSummary publishes the summary of the own zone, if rendezvous hashing selects this instance: every
// summaryRefresh, and at once when the number of a model's available or leaving engines has changed. Other changes
// wait, because sums over a zone change slowly and each summary goes to every instance. The lock is held.
func (s *Service) publishZoneSummary(now time.Time) {
	zone, _ := s.liveIDs()
	name := s.opts.Region + "/" + s.opts.Zone
	if rendezvous("summary/"+name, zone) != s.opts.ID {
		return
	}
	k := key{kindZone, name}
	summary := &peerpb.ZoneSummary{Region: s.opts.Region, Zone: s.opts.Zone, Models: s.capacities(now)}
	if old := s.table.entries[k]; old != nil {
		last := old.msg.(*peerpb.ZoneSummary)
		summary.Seq, summary.Origin = last.GetSeq(), last.GetOrigin()
		if now.Sub(old.updatedAt) < summaryRefresh && sameEngineCounts(last.GetModels(), summary.GetModels()) {
			return
		}
	} else if len(summary.Models) == 0 {
		return
	}
	summary.Seq, summary.Origin = s.table.nextSeq(k), s.opts.ID
	s.table.merge(now, "", zoneEntry(summary))
}

// sameEngineCounts reports whether both summaries have the same models, with the same numbers of engines.
func sameEngineCounts(a, b []*peerpb.ModelCapacity) bool {
	return slices.EqualFunc(a, b, func(a, b *peerpb.ModelCapacity) bool {
		return a.GetModel() == b.GetModel() && a.GetEngines() == b.GetEngines() && a.GetLeaving() == b.GetLeaving()
	})
}

// capacities sums up the load records of the zone by model, in order of the models' indexes. The lock is held.
func (s *Service) capacities(now time.Time) []*peerpb.ModelCapacity {
	models := make(map[uint32]*peerpb.ModelCapacity)
	for k, e := range s.table.entries {
		if k.kind != kindLoad || now.Sub(e.updatedAt) > maxSummarizedLoadAge {
			continue
		}
		load := e.msg.(*peerpb.UpstreamLoad)
		leaving := load.GetDraining()
		if marked := s.table.entries[key{kindLeaving, k.id}]; marked != nil {
			leaving = leaving || marked.msg.(*peerpb.UpstreamLeaving).GetEpochHash() == load.GetEpochHash()
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
