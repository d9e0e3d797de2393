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

// beatBytes is the encoded size of one beat.
const beatBytes = 4

// tick runs every heartbeatInterval: it drops silent members, publishes the zone summary, sends heartbeats and a probe,
// and assigns the pollers.
func (s *Service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pauseThreshold {
		// This process received nothing while it was paused, so the pause does not count as silence of the members.
		for _, p := range s.presences {
			p.lastBeatAt = p.lastBeatAt.Add(gap)
		}
		eventPaused.Log(ctx, s.opts.Logger, slog.Duration("pause", gap))
	}
	s.lastTick = now
	s.ownRecord.Beat++
	s.observeBeat(s.opts.ID, s.ownRecord.GetBeat(), now)
	s.expire(now)
	s.publishZoneSummary(now)
	targets := s.choosePeers(now)
	var probe string
	if !s.probeInFlight {
		probe = s.probeTarget(now)
		s.probeInFlight = probe != ""
	}
	s.mu.Unlock()
	for _, id := range targets {
		s.sendHeartbeat(ctx, id)
	}
	if probe != "" {
		s.jobs.run(func() { s.syncTables(ctx, probe) })
	}
	s.assignPollers(ctx)
}

// sendHeartbeat sends a peer the records that it lacks, unless the previous heartbeat to it is still in flight.
func (s *Service) sendHeartbeat(ctx context.Context, id string) {
	version := s.opts.Version()
	s.mu.Lock()
	state := s.peers[id]
	if state == nil {
		state = newPeerState()
		s.peers[id] = state
	}
	now := time.Now()
	state.lastUsed = now
	if state.heartbeatInFlight {
		s.mu.Unlock()
		return
	}
	state.heartbeatInFlight = true
	batch, sent := s.buildBatch(id, state, now)
	batch.ConfigVersion = version
	s.mu.Unlock()
	s.jobs.run(func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		s.stats.heartbeats.Inc(1)
		resp, err := s.opts.Transport.Call(callCtx, id, &peerpb.Request{Call: &peerpb.Request_Heartbeat{Heartbeat: batch}})
		s.mu.Lock()
		state.heartbeatInFlight = false
		if err == nil {
			s.markDelivered(state, batch, sent)
			s.noteRequests(state, resp.GetRecords())
		} else {
			s.stats.heartbeatsFailed.Inc(1)
		}
		s.mu.Unlock()
		if err == nil {
			s.receiveBeats(id, resp.GetRecords().GetBeats())
			s.fetchIfNewer(id, "", resp.GetRecords().GetConfigVersion())
		}
	})
}

// buildBatch chooses the records of a heartbeat to a peer within the size limits. It also returns their entries. The
// lock is held.
func (s *Service) buildBatch(id string, state *peerState, now time.Time) (*peerpb.Records, []*entry) {
	batch := &peerpb.Records{}
	batch.Beats = s.beatsFor(id, state, now)
	s.stats.beatBytes.Inc(int64(beatBytes * len(batch.Beats)))
	budget := maxHeartbeatBytes - beatBytes*len(batch.Beats)
	loadBudget := budget
	if id == s.randomPeers.sameZone {
		loadBudget = maxRepairBytes
	}
	var sent []*entry
	for _, e := range s.pending(id, state, now) {
		msg, size := s.messageFor(state, e)
		if size > budget || (e.key.kind == kindLoad && size > loadBudget) {
			continue
		}
		budget -= size
		if e.key.kind == kindLoad {
			loadBudget -= size
		}
		s.stats.recordBytes[e.key.kind].Inc(int64(size))
		appendRecord(batch, msg)
		sent = append(sent, e)
	}
	return batch, sent
}

// messageFor returns the message that carries a record to a peer, and its size with tag and length. A load record
// becomes a delta if the peer has one with the same base hash.
func (s *Service) messageFor(state *peerState, e *entry) (proto.Message, int) {
	if load, ok := e.msg.(*peerpb.UpstreamLoad); ok && state.knownBases[e.key.id] == e.baseHash {
		delta := newDelta(load, e.baseHash)
		return delta, proto.Size(delta) + 2
	}
	return s.withCurrentBeat(e), e.size + 3
}

// pending returns the entries of the records that the peer lacks, the most urgent kind first and the latest update
// first within a kind.
func (s *Service) pending(id string, state *peerState, now time.Time) []*entry {
	sameZone, ring := s.sameZone(id), s.currentRing()
	var list []*entry
	for k, e := range s.table.entries {
		requested := k.kind == kindMember && state.requested[k.id]
		switch {
		case requested:
		case e.changeNumber <= state.knownChanges[k], e.source == id, now.Sub(e.updatedAt) > sendWindow:
			continue
		case k.kind == kindLoad &&
			(!sameZone || (id != s.randomPeers.sameZone && !ring.shouldForward(e.origin, s.opts.ID, id))):
			continue
		case k.kind == kindZone && len(ring.ids) >= minDirectZoneSize && s.reachesPeerViaOthers(k.id, id, sameZone):
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		if a.key.kind != b.key.kind {
			return cmp.Compare(a.key.kind, b.key.kind)
		}
		return cmp.Compare(b.changeNumber, a.changeNumber)
	})
	return list
}

// reachesPeerViaOthers reports whether a zone summary reaches the peer without this instance. Within a zone, the ring
// spreads a summary. Other zones get it from the members of the zone that it describes, each of which has a peer in
// another zone.
func (s *Service) reachesPeerViaOthers(summary, peer string, sameZone bool) bool {
	if sameZone {
		return peer == s.randomPeers.sameZone
	}
	return summary != s.opts.Region+"/"+s.opts.Zone
}

// sameZone reports whether a member is in the own zone.
func (s *Service) sameZone(id string) bool {
	e := s.table.entries[key{kindMember, id}]
	if e == nil {
		return false
	}
	m := e.msg.(*peerpb.Member)
	return m.GetZone() == s.opts.Zone && m.GetRegion() == s.opts.Region
}

// withCurrentBeat returns the message of an entry. It adds the known beat to a member record, because a peer that has
// dropped the member accepts only a record with a higher beat.
func (s *Service) withCurrentBeat(e *entry) proto.Message {
	m, ok := e.msg.(*peerpb.Member)
	if !ok {
		return e.msg
	}
	m = proto.Clone(m).(*peerpb.Member)
	m.Beat = s.presences[m.GetId()].beat
	return m
}

// beatsFor returns the beats that the peer lacks, that of this process first. Beats older than maxBeatAge are left out:
// a peer counts a beat as fresh when it arrives, so they would make a silent member appear alive. The lock is held.
func (s *Service) beatsFor(id string, state *peerState, now time.Time) []uint32 {
	beats := []uint32{beatHash(s.opts.ID) | s.ownRecord.GetBeat()&0xff}
	for member, p := range s.presences {
		if member == id || member == s.opts.ID || p.dropped || now.Sub(p.lastBeatAt) >= maxBeatAge {
			continue
		}
		step := uint32(otherZoneBeatStep)
		if s.sameZone(member) {
			step = 1
		}
		if p.beat >= state.knownBeats[member]+step {
			beats = append(beats, beatHash(member)|p.beat&0xff)
		}
	}
	return beats
}

// markDelivered records that a peer has the records and beats of a heartbeat.
func (s *Service) markDelivered(state *peerState, batch *peerpb.Records, sent []*entry) {
	for _, e := range sent {
		state.knownChanges[e.key] = max(state.knownChanges[e.key], e.changeNumber)
		delete(state.requested, e.key.id)
		if e.key.kind == kindLoad {
			state.knownBases[e.key.id] = e.baseHash
		}
	}
	for _, b := range batch.GetBeats() {
		for _, id := range s.idsByBeatHash[b&^0xff] {
			if p := s.presences[id]; p != nil {
				state.knownBeats[id] = max(state.knownBeats[id], p.beat-uint32(uint8(p.beat)-uint8(b)))
			}
		}
	}
}

// noteRequests makes the next heartbeat carry the member records that the peer requested, and full load records in
// place of the deltas that it could not apply.
func (s *Service) noteRequests(state *peerState, reply *peerpb.Records) {
	for _, hash := range reply.GetWant() {
		for _, id := range s.idsByBeatHash[hash] {
			state.requested[id] = true
		}
	}
	for _, base := range reply.GetLacking() {
		delete(state.knownBases, s.upstreamsByBase[base])
	}
}

// snapshot returns all records that fit into maxSnapshotBytes, except those of dropped members and load records, which
// are renewed within seconds. The lock is held.
func (s *Service) snapshot() *peerpb.Records {
	batch, budget := &peerpb.Records{}, maxSnapshotBytes
	for k, e := range s.table.entries {
		p := s.presences[k.id]
		if k.kind == kindLoad || (k.kind == kindMember && (p == nil || p.dropped)) || e.size > budget {
			continue
		}
		budget -= e.size + 3
		appendRecord(batch, s.withCurrentBeat(e))
	}
	return batch
}

// syncTables exchanges snapshots with the instance at an address that belongs to no live member.
func (s *Service) syncTables(ctx context.Context, address string) {
	defer func() {
		s.mu.Lock()
		s.probeInFlight = false
		s.mu.Unlock()
	}()
	s.mu.Lock()
	batch := s.snapshot()
	s.mu.Unlock()
	batch.Sync = true
	batch.ConfigVersion = s.opts.Version()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	s.stats.syncs.Inc(1)
	resp, err := s.opts.Transport.CallAddress(callCtx, address, &peerpb.Request{
		Call: &peerpb.Request_Heartbeat{Heartbeat: batch},
	})
	if err != nil {
		return
	}
	urgent, _ := s.receive("@"+address, resp.GetRecords())
	s.forward(urgent, "")
	s.fetchIfNewer("", address, resp.GetRecords().GetConfigVersion())
}

// forward pushes new records, if there are any, to all ring peers and connected peers except the one that sent them.
func (s *Service) forward(r *peerpb.Records, from string) {
	if proto.Size(r) > 0 {
		s.pushAll(s.ctx, r, from, false)
	}
}

// pushAll pushes records to all ring peers and connected peers but one. Peers are skipped while maxConcurrentPushes are
// running. If wait is set, it returns when the pushes have ended.
func (s *Service) pushAll(ctx context.Context, r *peerpb.Records, except string, wait bool) {
	r.ConfigVersion = s.opts.Version()
	s.mu.Lock()
	targets := make(map[string]bool)
	for _, id := range s.ringPeers() {
		targets[id] = true
	}
	s.mu.Unlock()
	for _, id := range s.opts.Transport.Connected() {
		targets[id] = true
	}
	done := make(chan struct{}, len(targets))
	running := 0
	for id := range targets {
		if id == except || id == s.opts.ID {
			continue
		}
		select {
		case s.pushSlots <- struct{}{}:
		default:
			continue // heartbeats carry the records as well
		}
		if s.jobs.run(func() {
			defer func() { <-s.pushSlots; done <- struct{}{} }()
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			s.stats.pushes.Inc(1)
			// A failed push is not retried: the records still count as unsent and go with the next heartbeat to this peer.
			_, _ = s.opts.Transport.Call(callCtx, id, &peerpb.Request{Call: &peerpb.Request_Push{Push: r}})
		}) {
			running++
		}
	}
	for ; wait && running > 0; running-- {
		<-done
	}
}
