package member

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// randomPeers are one member of the own zone and one of another zone, by ID. They are chosen at random and replaced
// every randomPeerTime.
type randomPeers struct {
	chosenAt            time.Time
	sameZone, otherZone string
}

// choosePeers returns the IDs of the peers that get a heartbeat in this tick. The lock is held.
func (s *Service) choosePeers(now time.Time) []string {
	chosen := s.ringPeers()
	zone, others := s.liveIDs()
	if now.Sub(s.randomPeers.chosenAt) >= randomPeerTime || !slices.Contains(zone, s.randomPeers.sameZone) ||
		!slices.Contains(others, s.randomPeers.otherZone) {
		rest := slices.DeleteFunc(slices.Clone(zone), func(id string) bool {
			return id == s.opts.ID || slices.Contains(chosen, id)
		})
		s.randomPeers = randomPeers{chosenAt: now, sameZone: pickRandom(rest), otherZone: pickRandom(others)}
	}
	for _, id := range []string{s.randomPeers.sameZone, s.randomPeers.otherZone} {
		if id != "" && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// ringPeers returns the fixed peers in the own zone: the neighbours on the ring at distance 1 and at about the square
// root of the zone's size, in both directions. If a is a peer of b, then b is a peer of a, so that one session serves
// both, and a record crosses a zone of n members in about sqrt(n) hops. The lock is held.
func (s *Service) ringPeers() []string {
	zone := s.currentRing().ids
	n, self := len(zone), slices.Index(zone, s.opts.ID)
	var chosen []string
	if n <= maxFullMeshZone || self < 0 {
		for _, id := range zone {
			if id != s.opts.ID {
				chosen = append(chosen, id)
			}
		}
		return chosen
	}
	step := ringStep(n)
	for _, offset := range []int{1, n - 1, step, n - step} {
		if id := zone[(self+offset)%n]; !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// ringStep returns the distance of the long edges of a ring of n members.
func ringStep(n int) int { return max(2, int(math.Round(math.Sqrt(float64(n))))) }

// liveIDs returns the live members of the own zone, this process included, and those of other zones, sorted by ID.
func (s *Service) liveIDs() (zone, others []string) {
	for _, m := range s.live(func(*peerpb.Member, *presence) bool { return true }) {
		if m.GetZone() == s.opts.Zone && m.GetRegion() == s.opts.Region {
			zone = append(zone, m.GetId())
		} else {
			others = append(others, m.GetId())
		}
	}
	return zone, others
}

func pickRandom(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[rand.IntN(len(values))]
}

// probeTarget returns a random address that belongs to no live member, from the seeds, the instance list and the
// dropped members, or "" if there is none or the last probe was too recent. While other members are live, it allows one
// probe per probeInterval. The lock is held.
func (s *Service) probeTarget(now time.Time) string {
	live := s.live(func(*peerpb.Member, *presence) bool { return true })
	if len(live) > 1 && now.Sub(s.lastProbe) < jitter(probeInterval) {
		return ""
	}
	known := map[string]bool{"": true, s.opts.PeerAddress: true}
	for _, m := range live {
		known[m.GetPeerAddress()] = true
	}
	var candidates []string
	addUnknown := func(address string) {
		if !known[address] {
			candidates = append(candidates, address)
		}
	}
	for _, address := range s.opts.Seeds {
		addUnknown(address)
	}
	for _, address := range s.listedAddresses {
		addUnknown(address)
	}
	for address := range s.droppedAddresses {
		addUnknown(address)
	}
	s.lastProbe = now
	return pickRandom(candidates)
}

// expire drops members that have been silent for DropAfter and removes outdated records, addresses and peer states. The
// lock is held.
func (s *Service) expire(now time.Time) {
	live := int64(0)
	for id, p := range s.presences {
		age, suspectAfter := now.Sub(p.lastBeatAt), s.suspectAfter(id)
		k := key{kindMember, id}
		switch {
		case id == s.opts.ID:
		case !p.dropped && age >= DropAfter:
			p.dropped = true
			s.generation++
			if e := s.table.entries[k]; e != nil && len(s.droppedAddresses) < maxDroppedAddresses {
				if m := e.msg.(*peerpb.Member); !m.GetLeaving() {
					s.droppedAddresses[m.GetPeerAddress()] = now
				}
			}
			eventDropped.Log(s.ctx, s.opts.Logger, slog.String("member", id))
		case p.dropped && age >= recordLifetime:
			delete(s.presences, id)
			delete(s.table.entries, k)
			s.idsByBeatHash[beatHash(id)] = slices.DeleteFunc(
				s.idsByBeatHash[beatHash(id)], func(other string) bool { return other == id },
			)
		case !p.dropped && age >= suspectAfter && age < suspectAfter+2*heartbeatInterval:
			s.generation++ // a suspected member polls no engine: assign its engines to other members
		}
		if !p.dropped {
			live++
		}
	}
	s.stats.live.Update(live)
	for k, e := range s.table.entries {
		if k.kind != kindMember && now.Sub(e.updatedAt) >= recordLifetime {
			delete(s.table.entries, k)
		}
	}
	for address, at := range s.droppedAddresses {
		if now.Sub(at) >= droppedAddressLifetime {
			delete(s.droppedAddresses, address)
		}
	}
	for id, state := range s.peers {
		if now.Sub(state.lastUsed) >= sendWindow && !state.heartbeatInFlight {
			delete(s.peers, id)
		}
	}
}
