package member

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

const beatBytes = 4

// tick sends the heartbeats of one second and brings the derived state up to date.
func (s *Service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pauseGap {
		// Nothing could be heard while this process was paused, so the members cannot be blamed for it.
		for _, p := range s.presences {
			p.at = p.at.Add(gap)
		}
		eventPaused.Log(ctx, s.opts.Logger, slog.Duration("pause", gap))
	}
	s.lastTick = now
	s.own.Beat++
	s.meet(s.opts.ID, s.own.GetBeat(), now)
	s.expire(now)
	s.summarise(now)
	targets := s.choosePeers(now)
	var probe string
	if !s.probing {
		probe = s.probeTarget(now)
		s.probing = probe != ""
	}
	s.mu.Unlock()
	for _, id := range targets {
		s.heartbeat(ctx, id)
	}
	if probe != "" {
		s.jobs.run(func() { s.sync(ctx, probe) })
	}
	s.assignPollers(ctx)
}

// heartbeat sends what the peer lacks, unless the last heartbeat to it is still under way.
func (s *Service) heartbeat(ctx context.Context, id string) {
	version := s.opts.Version()
	s.mu.Lock()
	state := s.peers[id]
	if state == nil {
		state = newPeerState()
		s.peers[id] = state
	}
	now := time.Now()
	state.used = now
	if state.busy {
		s.mu.Unlock()
		return
	}
	state.busy = true
	batch, sent := s.batch(id, state, now)
	batch.ConfigVersion = version
	s.mu.Unlock()
	s.jobs.run(func() {
		call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		s.stats.heartbeats.Inc(1)
		resp, err := s.opts.Transport.Call(call, id, &peerpb.Request{Call: &peerpb.Request_Heartbeat{Heartbeat: batch}})
		s.mu.Lock()
		state.busy = false
		if err == nil {
			s.confirm(state, batch, sent)
			s.force(state, resp.GetRecords())
		} else {
			s.stats.heartbeatsFailed.Inc(1)
		}
		s.mu.Unlock()
		if err == nil {
			s.receiveBeats(id, resp.GetRecords().GetBeats())
			s.compareVersion(id, "", resp.GetRecords().GetConfigVersion())
		}
	})
}

// batch chooses what to send to a peer. It returns the records and the entries they come from.
func (s *Service) batch(id string, state *peerState, now time.Time) (*peerpb.Records, []*entry) {
	batch := &peerpb.Records{}
	batch.Beats = s.beatsFor(id, state)
	s.stats.beatBytes.Inc(int64(beatBytes * len(batch.Beats)))
	budget := maxHeartbeatBytes - beatBytes*len(batch.Beats)
	loads := budget
	if id == s.random.zone {
		loads = maxRepairBytes
	}
	var sent []*entry
	for _, e := range s.pending(id, state, now) {
		msg, size := s.message(state, e)
		if size > budget || (e.key.kind == kindLoad && size > loads) {
			continue
		}
		budget -= size
		if e.key.kind == kindLoad {
			loads -= size
		}
		s.stats.recordBytes[e.key.kind].Inc(int64(size))
		add(batch, msg)
		sent = append(sent, e)
	}
	return batch, sent
}

// message returns the form in which a record goes to a peer, and its size with tag and length.
func (s *Service) message(state *peerState, e *entry) (proto.Message, int) {
	if load, ok := e.msg.(*peerpb.UpstreamLoad); ok && state.bases[e.key.id] == e.base {
		delta := deltaOf(load, e.base)
		return delta, proto.Size(delta) + 2
	}
	return s.withBeat(e), e.size + 3
}

// pending returns the records that the peer lacks, the most urgent kind first and the newest first within a kind.
func (s *Service) pending(id string, state *peerState, now time.Time) []*entry {
	sameZone, ring := s.sameZone(id), s.currentRing()
	var list []*entry
	for k, e := range s.table.entries {
		forced := k.kind == kindMember && state.forced[k.id]
		switch {
		case forced:
		case e.change <= state.sent[k], e.source == id, now.Sub(e.at) > recordWindow:
			continue
		case k.kind == kindLoad && (!sameZone || (id != s.random.zone && !ring.passes(e.origin, s.opts.ID, id))):
			continue
		case k.kind == kindZone && len(ring.ids) >= directZoneSize && s.reachedOtherwise(k.id, id, sameZone):
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		if a.key.kind != b.key.kind {
			return cmp.Compare(a.key.kind, b.key.kind)
		}
		return cmp.Compare(b.change, a.change)
	})
	return list
}

// reachedOtherwise reports whether a zone summary reaches the peer without this instance: the ring spreads it within a
// zone, and the members of the summary's own zone, each of which has a peer in some other zone, spread it between zones.
func (s *Service) reachedOtherwise(summary, peer string, sameZone bool) bool {
	if sameZone {
		return peer == s.random.zone
	}
	return summary != s.opts.Region+"/"+s.opts.Zone
}

func (s *Service) sameZone(id string) bool {
	e := s.table.entries[key{kindMember, id}]
	if e == nil {
		return false
	}
	m := e.msg.(*peerpb.Member)
	return m.GetZone() == s.opts.Zone && m.GetRegion() == s.opts.Region
}

// withBeat returns the record with the newest beat, without which a member that was dropped could not come back.
func (s *Service) withBeat(e *entry) proto.Message {
	m, ok := e.msg.(*peerpb.Member)
	if !ok {
		return e.msg
	}
	m = proto.Clone(m).(*peerpb.Member)
	m.Beat = s.presences[m.GetId()].beat
	return m
}

// beatsFor returns the signs of life that the peer lacks, the own one first.
func (s *Service) beatsFor(id string, state *peerState) []uint32 {
	beats := []uint32{beatHash(s.opts.ID) | s.own.GetBeat()&0xff}
	for member, p := range s.presences {
		if member == id || member == s.opts.ID || p.dropped {
			continue
		}
		step := uint32(foreignBeatStep)
		if s.sameZone(member) {
			step = 1
		}
		if p.beat >= state.beats[member]+step {
			beats = append(beats, beatHash(member)|p.beat&0xff)
		}
	}
	return beats
}

// confirm notes that a peer has what was sent to it.
func (s *Service) confirm(state *peerState, batch *peerpb.Records, sent []*entry) {
	for _, e := range sent {
		state.sent[e.key] = max(state.sent[e.key], e.change)
		delete(state.forced, e.key.id)
		if e.key.kind == kindLoad {
			state.bases[e.key.id] = e.base
		}
	}
	for _, b := range batch.GetBeats() {
		for _, id := range s.byHash[b&^0xff] {
			if p := s.presences[id]; p != nil {
				state.beats[id] = max(state.beats[id], p.beat-uint32(uint8(p.beat)-uint8(b)))
			}
		}
	}
}

// force makes the next heartbeat carry the records that a peer asked for, and load records in full whose deltas the
// peer could not apply.
func (s *Service) force(state *peerState, answer *peerpb.Records) {
	for _, hash := range answer.GetWant() {
		for _, id := range s.byHash[hash] {
			state.forced[id] = true
		}
	}
	for _, base := range answer.GetLacking() {
		delete(state.bases, s.bases[base])
	}
}

// snapshot returns all records but load records, which are renewed within seconds. The lock is held.
func (s *Service) snapshot() *peerpb.Records {
	batch, budget := &peerpb.Records{}, maxSnapshotBytes
	for k, e := range s.table.entries {
		p := s.presences[k.id]
		if k.kind == kindLoad || (k.kind == kindMember && (p == nil || p.dropped)) || e.size > budget {
			continue
		}
		budget -= e.size + 3
		add(batch, s.withBeat(e))
	}
	return batch
}

// sync exchanges whole tables with an address that is not known as that of a live member.
func (s *Service) sync(ctx context.Context, address string) {
	defer func() {
		s.mu.Lock()
		s.probing = false
		s.mu.Unlock()
	}()
	s.mu.Lock()
	batch := s.snapshot()
	s.mu.Unlock()
	batch.Sync = true
	batch.ConfigVersion = s.opts.Version()
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	s.stats.syncs.Inc(1)
	resp, err := s.opts.Transport.CallAddress(call, address, &peerpb.Request{
		Call: &peerpb.Request_Heartbeat{Heartbeat: batch},
	})
	if err != nil {
		return
	}
	urgent, _ := s.receive("@"+address, resp.GetRecords())
	s.forward(urgent, "")
	s.compareVersion("", address, resp.GetRecords().GetConfigVersion())
}

// forward pushes records that were news here to every connected peer but the one they came from.
func (s *Service) forward(r *peerpb.Records, from string) {
	if proto.Size(r) > 0 {
		s.pushAll(s.ctx, r, from, false)
	}
}

func (s *Service) pushAll(ctx context.Context, r *peerpb.Records, except string, wait bool) {
	r.ConfigVersion = s.opts.Version()
	s.mu.Lock()
	targets := make(map[string]bool)
	for _, id := range s.ring() {
		targets[id] = true
	}
	s.mu.Unlock()
	for _, id := range s.opts.Transport.Connected() {
		targets[id] = true
	}
	done := make(chan struct{}, len(targets))
	count := 0
	for id := range targets {
		if id == except || id == s.opts.ID {
			continue
		}
		select {
		case s.push <- struct{}{}:
		default:
			continue // heartbeats carry the records as well
		}
		if s.jobs.run(func() {
			defer func() { <-s.push; done <- struct{}{} }()
			call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			s.stats.pushes.Inc(1)
			// A failed push needs no repetition: the records stay unsent for this peer and go with its heartbeat.
			_, _ = s.opts.Transport.Call(call, id, &peerpb.Request{Call: &peerpb.Request_Push{Push: r}})
		}) {
			count++
		}
	}
	for ; wait && count > 0; count-- {
		<-done
	}
}
