package member

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// receive takes the records of a peer and returns those that must be pushed on and the bases of deltas that could not
// be applied.
func (s *Service) receive(from string, r *peerpb.Records) (urgent *peerpb.Records, lacking []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	urgent = &peerpb.Records{}
	for _, m := range r.GetMembers() {
		s.receiveMember(from, m, now, urgent)
	}
	for _, l := range r.GetLeaving() {
		if s.accept(from, leavingEntry(l), now) {
			s.applyLeaving(l, from)
			urgent.Leaving = append(urgent.Leaving, l)
		}
	}
	for _, p := range r.GetPlanned() {
		if s.accept(from, plannedEntry(p), now) {
			s.applyPlanned(p, now)
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
		if s.accept(from, zoneEntry(z), now) && (z.GetZone() != s.opts.Zone || z.GetRegion() != s.opts.Region) {
			s.opts.Sink.UpdateZone(now, z)
		}
	}
	for _, x := range r.GetSuspicions() {
		if s.accept(from, suspicionEntry(x), now) {
			s.opts.MergeSuspicion(x)
			urgent.Suspicions = append(urgent.Suspicions, x)
		}
	}
	return urgent, lacking
}

// accept merges a record. A record that the peer has, whether new here or not, is not sent back to it.
func (s *Service) accept(from string, e entry, now time.Time) bool {
	news := s.table.merge(now, from, e)
	if have := s.table.entries[e.key]; have.seq == e.seq && have.origin == e.origin {
		if p := s.peers[from]; p != nil {
			p.sent[e.key] = have.change
		}
	}
	return news
}

func (s *Service) receiveLoad(from string, l *peerpb.UpstreamLoad, now time.Time) {
	s.stats.loads.Inc(1)
	if !s.mergeLoad(from, l, now) {
		s.stats.loadsRepeated.Inc(1)
	}
	if state, held := s.peers[from], s.table.entries[key{kindLoad, l.GetUpstream()}]; state != nil {
		state.bases[l.GetUpstream()] = held.base
	}
}

// receiveDelta applies a delta to the record held and reports whether its base is known here.
func (s *Service) receiveDelta(from string, d *peerpb.LoadDelta, now time.Time) bool {
	held := s.table.entries[key{kindLoad, s.bases[d.GetBase()]}]
	if held == nil || held.base != d.GetBase() {
		return false
	}
	load := applyDelta(held.msg.(*peerpb.UpstreamLoad), d)
	if load == nil {
		s.stats.loads.Inc(1)
		s.stats.loadsRepeated.Inc(1)
		if state := s.peers[from]; state != nil && len(d.GetValues()) > 0 && uint64(d.GetValues()[0]) == held.seq {
			state.sent[held.key] = held.change
		}
		return true
	}
	s.receiveLoad(from, load, now)
	return true
}

// mergeLoad takes a load record of a peer, or an own one with an empty source.
func (s *Service) mergeLoad(from string, l *peerpb.UpstreamLoad, now time.Time) bool {
	e := loadEntry(l)
	e.base = baseOf(l)
	old := s.table.entries[e.key]
	if !s.accept(from, e, now) {
		return false
	}
	if old != nil && old.base != e.base {
		delete(s.bases, old.base)
	}
	s.bases[e.base] = l.GetUpstream()
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
		return // an old record of a member that is gone
	}
	joined := p == nil || p.dropped
	s.meet(id, m.GetBeat(), now)
	if s.accept(from, memberEntry(m), now) {
		s.generation++
		if m.GetLeaving() {
			urgent.Members = append(urgent.Members, m)
		}
	}
	if joined {
		eventJoined.Log(s.ctx, s.opts.Logger, slog.String("member", id), slog.String("zone", m.GetZone()))
	}
}

// receiveBeats takes signs of life and returns the hashes of members without a record here.
func (s *Service) receiveBeats(from string, beats []uint32) (want []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := time.Now(), s.peers[from]
	for _, b := range beats {
		ids := s.byHash[b&^0xff]
		if len(ids) != 1 || s.presences[ids[0]].dropped {
			// Members whose hashes are equal are told apart by their records.
			if len(want) < maxWant {
				want = append(want, b&^0xff)
			}
			continue
		}
		p := s.presences[ids[0]]
		beat := p.expand(uint8(b))
		if ids[0] != s.opts.ID {
			s.meet(ids[0], beat, now)
		}
		if state != nil {
			state.beats[ids[0]] = max(state.beats[ids[0]], beat)
		}
	}
	return want
}

func (s *Service) handleHeartbeat(
	_ context.Context, from string, req *peerpb.Request,
) (*peerpb.Response, error) {
	r := req.GetHeartbeat()
	s.stats.heartbeatsIn.Inc(1)
	urgent, lacking := s.receive(from, r)
	s.forward(urgent, from)
	s.compareVersion(from, "", r.GetConfigVersion())
	answer := &peerpb.Records{Want: s.receiveBeats(from, r.GetBeats()), Lacking: lacking}
	s.mu.Lock()
	if r.GetSync() {
		answer = s.snapshot()
	}
	answer.Beats = []uint32{beatHash(s.opts.ID) | s.own.GetBeat()&0xff}
	s.mu.Unlock()
	answer.ConfigVersion = s.opts.Version()
	return &peerpb.Response{Result: &peerpb.Response_Records{Records: answer}}, nil
}

func (s *Service) handlePush(_ context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
	s.stats.pushesIn.Inc(1)
	urgent, _ := s.receive(from, req.GetPush())
	s.forward(urgent, from)
	s.compareVersion(from, "", req.GetPush().GetConfigVersion())
	return nil, nil
}
