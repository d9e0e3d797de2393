package member

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// receive merges the records of a peer. It returns the new records that must be pushed to other peers at once, and the
// base hashes of the deltas that could not be applied.
func (s *Service) receive(from string, r *peerpb.Records) (urgent *peerpb.Records, lacking []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	urgent = &peerpb.Records{}
	for _, m := range r.GetMembers() {
		s.receiveMember(from, m, now, urgent)
	}
	for _, l := range r.GetLeaving() {
		if s.mergeFrom(from, leavingEntry(l), now) {
			s.applyLeaving(l, from)
			urgent.Leaving = append(urgent.Leaving, l)
		}
	}
	for _, p := range r.GetPlanned() {
		if s.mergeFrom(from, exclusionEntry(p), now) {
			s.applyExclusion(p, now)
			urgent.Planned = append(urgent.Planned, p)
		}
	}
	for _, l := range r.GetLoads() {
		s.receiveLoad(from, l, now)
	}
	for _, d := range r.GetDeltas() {
		if !s.receiveDelta(from, d, now) && len(lacking) < maxLacking {
			lacking = append(lacking, d.GetBase())
		}
	}
	for _, z := range r.GetZones() {
		if s.mergeFrom(from, zoneEntry(z), now) && (z.GetZone() != s.opts.Zone || z.GetRegion() != s.opts.Region) {
			s.opts.Sink.UpdateZone(now, z)
		}
	}
	for _, suspicion := range r.GetSuspicions() {
		if s.mergeFrom(from, suspicionEntry(suspicion), now) {
			s.opts.MergeSuspicion(suspicion)
			urgent.Suspicions = append(urgent.Suspicions, suspicion)
		}
	}
	return urgent, lacking
}

// mergeFrom merges a record that a peer sent and reports whether it is newer than the stored one. If the stored record
// is now the one that the peer sent, it is not sent back to that peer. An empty sender stands for this process.
func (s *Service) mergeFrom(from string, e entry, now time.Time) bool {
	updated := s.table.merge(now, from, e)
	if stored := s.table.entries[e.key]; stored.seq == e.seq && stored.origin == e.origin {
		if p := s.peers[from]; p != nil {
			p.knownChanges[e.key] = stored.changeNumber
		}
	}
	return updated
}

func (s *Service) receiveLoad(from string, l *peerpb.UpstreamLoad, now time.Time) {
	s.stats.loadsReceived.Inc(1)
	if !s.mergeLoad(from, l, now) {
		s.stats.loadsRepeated.Inc(1)
	}
	if state, stored := s.peers[from], s.table.entries[key{kindLoad, l.GetUpstream()}]; state != nil {
		state.knownBases[l.GetUpstream()] = stored.baseHash
	}
}

// receiveDelta applies a delta to the stored record. It reports whether the stored record has the delta's base hash.
func (s *Service) receiveDelta(from string, d *peerpb.LoadDelta, now time.Time) bool {
	stored := s.table.entries[key{kindLoad, s.upstreamsByBase[d.GetBase()]}]
	if stored == nil || stored.baseHash != d.GetBase() {
		return false
	}
	load := applyDelta(stored.msg.(*peerpb.UpstreamLoad), d)
	if load == nil {
		s.stats.loadsReceived.Inc(1)
		s.stats.loadsRepeated.Inc(1)
		if state := s.peers[from]; state != nil && len(d.GetValues()) > 0 && uint64(d.GetValues()[0]) == stored.seq {
			state.knownChanges[stored.key] = stored.changeNumber
		}
		return true
	}
	s.receiveLoad(from, load, now)
	return true
}

// mergeLoad merges a load record of a peer, or one of this process if the sender is empty. It reports whether the
// record is newer than the stored one, and if so, passes it to the sink.
func (s *Service) mergeLoad(from string, l *peerpb.UpstreamLoad, now time.Time) bool {
	e := loadEntry(l)
	e.baseHash = baseHash(l)
	old := s.table.entries[e.key]
	if !s.mergeFrom(from, e, now) {
		return false
	}
	if old != nil && old.baseHash != e.baseHash {
		delete(s.upstreamsByBase, old.baseHash)
	}
	s.upstreamsByBase[e.baseHash] = l.GetUpstream()
	s.opts.Sink.UpdateLoad(now, l)
	return true
}

func (s *Service) receiveMember(from string, m *peerpb.Member, now time.Time, urgent *peerpb.Records) {
	id := m.GetId()
	if id == "" || id == s.opts.ID {
		return
	}
	p := s.presences[id]
	if p != nil && p.dropped && m.GetBeat() <= p.beat {
		return // an outdated record of a dropped member
	}
	joined := p == nil || p.dropped
	s.observeBeat(id, m.GetBeat(), now)
	if s.mergeFrom(from, memberEntry(m), now) {
		s.generation++
		if m.GetLeaving() {
			urgent.Members = append(urgent.Members, m)
		}
	}
	if joined {
		eventJoined.Log(s.ctx, s.opts.Logger, slog.String("member", id), slog.String("zone", m.GetZone()))
	}
}

// receiveBeats updates the members' presences from beats of a peer. It returns the hashes for which this process needs
// the member records.
func (s *Service) receiveBeats(from string, beats []uint32) (want []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := time.Now(), s.peers[from]
	for _, b := range beats {
		ids := s.idsByBeatHash[b&^0xff]
		if len(ids) != 1 || s.presences[ids[0]].dropped {
			// The member is unknown or dropped, or several members share the hash and only their records tell them apart.
			if len(want) < maxWant {
				want = append(want, b&^0xff)
			}
			continue
		}
		p := s.presences[ids[0]]
		beat := p.expandBeat(uint8(b))
		if ids[0] != s.opts.ID {
			s.observeBeat(ids[0], beat, now)
		}
		if state != nil {
			state.knownBeats[ids[0]] = max(state.knownBeats[ids[0]], beat)
		}
	}
	return want
}

func (s *Service) handleHeartbeat(
	_ context.Context, from string, req *peerpb.Request,
) (*peerpb.Response, error) {
	r := req.GetHeartbeat()
	s.stats.heartbeatsReceived.Inc(1)
	urgent, lacking := s.receive(from, r)
	s.forward(urgent, from)
	s.fetchIfNewer(from, "", r.GetConfigVersion())
	reply := &peerpb.Records{Want: s.receiveBeats(from, r.GetBeats()), Lacking: lacking}
	s.mu.Lock()
	if r.GetSync() {
		reply = s.snapshot()
	}
	reply.Beats = []uint32{beatHash(s.opts.ID) | s.ownRecord.GetBeat()&0xff}
	s.mu.Unlock()
	reply.ConfigVersion = s.opts.Version()
	return &peerpb.Response{Result: &peerpb.Response_Records{Records: reply}}, nil
}

func (s *Service) handlePush(_ context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
	s.stats.pushesReceived.Inc(1)
	urgent, _ := s.receive(from, req.GetPush())
	s.forward(urgent, from)
	s.fetchIfNewer(from, "", req.GetPush().GetConfigVersion())
	return nil, nil
}
