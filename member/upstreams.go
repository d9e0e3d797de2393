package member

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// MarkUpstreamLeaving tells every instance that an upstream takes no new work. It may be called again for the same start
// of the upstream; epochHash is 0 if the start is not known.
func (s *Service) MarkUpstreamLeaving(upstream string, epochHash uint64) {
	s.mu.Lock()
	record := s.noteLeaving(upstream, epochHash, s.opts.ID, time.Now())
	s.mu.Unlock()
	if record != nil {
		s.forward(&peerpb.Records{Leaving: []*peerpb.UpstreamLeaving{record}}, "")
	}
}

// noteLeaving returns the record to push, or nil if the fact is known. The lock is held.
func (s *Service) noteLeaving(upstream string, epochHash uint64, source string, now time.Time) *peerpb.UpstreamLeaving {
	k := key{kindLeaving, upstream}
	if epochHash == 0 {
		epochHash = s.epochOf(upstream)
	}
	if old := s.table.entries[k]; old != nil && old.msg.(*peerpb.UpstreamLeaving).GetEpochHash() == epochHash {
		return nil
	}
	record := &peerpb.UpstreamLeaving{
		Upstream: upstream, Seq: s.table.next(k), Origin: s.opts.ID, EpochHash: epochHash, AtUnixMilli: now.UnixMilli(),
	}
	s.table.merge(now, "", leavingEntry(record))
	s.applyLeaving(record, source)
	return record
}

func (s *Service) applyLeaving(l *peerpb.UpstreamLeaving, source string) {
	epochHash := l.GetEpochHash()
	if epochHash == 0 {
		epochHash = s.epochOf(l.GetUpstream())
	}
	eventUpstreamLeaving.Log(s.ctx, s.opts.Logger, slog.String("upstream", l.GetUpstream()), slog.String("source", source))
	s.opts.Sink.SetLeaving(l.GetUpstream(), epochHash)
}

func (s *Service) epochOf(upstream string) uint64 {
	if e := s.table.entries[key{kindLoad, upstream}]; e != nil {
		return e.msg.(*peerpb.UpstreamLoad).GetEpochHash()
	}
	return 0
}

// PublishSuspicion tells every instance what this one suspects or has cleared.
func (s *Service) PublishSuspicion(suspicion *peerpb.Suspicion) {
	s.mu.Lock()
	s.suspicions++
	suspicion.Origin, suspicion.Seq = s.opts.ID, s.suspicions
	s.table.merge(time.Now(), "", suspicionEntry(suspicion))
	s.mu.Unlock()
	s.forward(&peerpb.Records{Suspicions: []*peerpb.Suspicion{suspicion}}, "")
}

// readDirectory reads the instance list. While it is not available, the last one stays in use.
func (s *Service) readDirectory(ctx context.Context) {
	failing := false
	for {
		call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		instances, err := s.opts.Directory.Instances(call)
		cancel()
		if err == nil {
			s.takeDirectory(instances)
		} else if !failing && ctx.Err() == nil {
			eventDirectoryFailed.Log(ctx, s.opts.Logger, slog.Any("error", err))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(s.directoryWait(time.Now()))):
		}
	}
}

// directoryWait returns the time until this instance reads the instance list again. Two instances of a zone read it
// often and tell the others what they find; at 1,180 rows, reading it by all would cost each of them 14 KB/s. The others
// read it now and then, in case both have lost the platform only.
func (s *Service) directoryWait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := s.live(func(m *peerpb.Member, p *presence) bool { return !s.suspected(m.GetId(), p, now) })
	if SelectedByHash(heard, s.opts.Region, s.opts.Zone, s.opts.ID, "list", directoryReaders) {
		return directoryInterval
	}
	return directoryRareInterval
}

func (s *Service) takeDirectory(instances []topo.Instance) {
	upstreams := s.upstreamIDs()
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
	s.directory = addresses
	s.mu.Unlock()
	for _, id := range leaving {
		s.MarkUpstreamLeaving(id, 0)
	}
}

// upstreamIDs returns the IDs of engines by address: the instance list names processes, the document upstreams.
func (s *Service) upstreamIDs() map[string]string {
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
