package member

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// MarkUpstreamLeaving notifies every instance that an upstream accepts no new work. It may be called repeatedly for the
// same incarnation of the upstream, which epochHash identifies; 0 stands for the incarnation of the stored load record.
func (s *Service) MarkUpstreamLeaving(upstream string, epochHash uint64) {
	s.mu.Lock()
	record := s.recordLeaving(upstream, epochHash, s.opts.ID, time.Now())
	s.mu.Unlock()
	if record != nil {
		s.forward(&peerpb.Records{Leaving: []*peerpb.UpstreamLeaving{record}}, "")
	}
}

// recordLeaving marks an incarnation of an upstream as leaving. It returns the record to push, or nil if it was marked
// already. The lock is held.
func (s *Service) recordLeaving(
	upstream string, epochHash uint64, source string, now time.Time,
) *peerpb.UpstreamLeaving {
	k := key{kindLeaving, upstream}
	if epochHash == 0 {
		epochHash = s.epochHashOf(upstream)
	}
	if old := s.table.entries[k]; old != nil && old.msg.(*peerpb.UpstreamLeaving).GetEpochHash() == epochHash {
		return nil
	}
	record := &peerpb.UpstreamLeaving{
		Upstream: upstream, Seq: s.table.nextSeq(k), Origin: s.opts.ID, EpochHash: epochHash, AtUnixMilli: now.UnixMilli(),
	}
	s.table.merge(now, "", leavingEntry(record))
	s.applyLeaving(record, source)
	return record
}

// applyLeaving passes a record of a leaving upstream to the sink and logs it. The lock is held.
func (s *Service) applyLeaving(l *peerpb.UpstreamLeaving, source string) {
	epochHash := l.GetEpochHash()
	if epochHash == 0 {
		epochHash = s.epochHashOf(l.GetUpstream())
	}
	eventUpstreamLeaving.Log(s.ctx, s.opts.Logger, slog.String("upstream", l.GetUpstream()), slog.String("source", source))
	s.opts.Sink.SetLeaving(l.GetUpstream(), epochHash)
}

// epochHashOf returns the epoch hash of the upstream's load record, or 0 without one. The lock is held.
func (s *Service) epochHashOf(upstream string) uint64 {
	if e := s.table.entries[key{kindLoad, upstream}]; e != nil {
		return e.msg.(*peerpb.UpstreamLoad).GetEpochHash()
	}
	return 0
}

// PublishSuspicion sends a suspicion to every instance: that requests with a fingerprint may crash upstreams, or that
// they have been cleared.
func (s *Service) PublishSuspicion(suspicion *peerpb.Suspicion) {
	s.mu.Lock()
	s.lastSuspicionSeq++
	suspicion.Origin, suspicion.Seq = s.opts.ID, s.lastSuspicionSeq
	s.table.merge(time.Now(), "", suspicionEntry(suspicion))
	s.mu.Unlock()
	s.forward(&peerpb.Records{Suspicions: []*peerpb.Suspicion{suspicion}}, "")
}

// readDirectory reads the instance list repeatedly until the context ends. If a read fails, the last list stays in use.
func (s *Service) readDirectory(ctx context.Context) {
	failing := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		instances, err := s.opts.Directory.Instances(callCtx)
		cancel()
		if err == nil {
			s.applyInstanceList(instances)
		} else if !failing && ctx.Err() == nil {
			eventDirectoryFailed.Log(ctx, s.opts.Logger, slog.Any("error", err))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(s.directoryReadInterval(time.Now()))):
		}
	}
}

// directoryReadInterval returns the time until this instance reads the instance list again. directoryReaders instances
// of a zone read it often and publish which upstreams are leaving. If all instances did so, the 1,180 rows would cost
// each of them 14 KB/s. The others read it rarely, in case the readers have lost the connection to the platform but not
// to the other instances.
func (s *Service) directoryReadInterval(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsuspected := s.live(func(m *peerpb.Member, p *presence) bool { return !s.suspected(m.GetId(), p, now) })
	if SelectedByHash(unsuspected, s.opts.Region, s.opts.Zone, s.opts.ID, "list", directoryReaders) {
		return directoryInterval
	}
	return directoryRareInterval
}

// applyInstanceList stores the peer addresses of the instance list and marks its leaving upstreams.
func (s *Service) applyInstanceList(instances []topo.Instance) {
	upstreams := s.upstreamIDsByAddress()
	var addresses, leaving []string
	for _, i := range instances {
		switch {
		case i.Kind == topo.KindEntry && !i.Leaving:
			addresses = append(addresses, i.Address)
		case i.Kind != topo.KindEntry && i.Leaving:
			if id, known := upstreams[i.Address]; known {
				leaving = append(leaving, id)
			} else {
				leaving = append(leaving, i.ID)
			}
		}
	}
	s.mu.Lock()
	s.listedAddresses = addresses
	s.mu.Unlock()
	for _, id := range leaving {
		s.MarkUpstreamLeaving(id, 0)
	}
}

// upstreamIDsByAddress returns the IDs of the document's upstreams by address. The instance list has IDs of processes,
// not of upstreams.
func (s *Service) upstreamIDsByAddress() map[string]string {
	ids := make(map[string]string)
	if doc := s.opts.Document(); doc != nil {
		for _, e := range doc.Models.Engines {
			ids[e.Address] = e.ID
		}
		for _, service := range doc.Orders.Services {
			for _, replica := range service.Upstreams {
				ids[replica.Address] = replica.ID
			}
		}
	}
	return ids
}
