package member

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// randomPeers are the peers that are chosen anew every randomPeerTime.
type randomPeers struct {
	at            time.Time
	zone, foreign string
}

// choosePeers returns the peers of this second's heartbeats. The lock is held.
func (s *Service) choosePeers(now time.Time) []string {
	chosen := s.ring()
	zone, foreign := s.groups()
	if now.Sub(s.random.at) >= randomPeerTime || !slices.Contains(zone, s.random.zone) ||
		!slices.Contains(foreign, s.random.foreign) {
		rest := slices.DeleteFunc(slices.Clone(zone), func(id string) bool {
			return id == s.opts.ID || slices.Contains(chosen, id)
		})
		s.random = randomPeers{at: now, zone: pick(rest), foreign: pick(foreign)}
	}
	for _, id := range []string{s.random.zone, s.random.foreign} {
		if id != "" && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// ring returns the fixed peers of the own zone: the neighbours at distance 1 and at about the square root of the zone's
// size, in both directions. The relation is symmetric, so that one session serves both, and a record crosses a zone of
// n members in about sqrt(n) steps. The lock is held.
func (s *Service) ring() []string {
	zone := s.currentRing().ids
	n, self := len(zone), slices.Index(zone, s.opts.ID)
	var chosen []string
	if n <= ringPeersAllUpTo || self < 0 {
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

func ringStep(n int) int { return max(2, int(math.Round(math.Sqrt(float64(n))))) }

// groups returns the live members of the own zone, this process included, and those of other zones, in order of IDs.
func (s *Service) groups() (zone, foreign []string) {
	for _, m := range s.live(func(*peerpb.Member, *presence) bool { return true }) {
		if m.GetZone() == s.opts.Zone && m.GetRegion() == s.opts.Region {
			zone = append(zone, m.GetId())
		} else {
			foreign = append(foreign, m.GetId())
		}
	}
	return zone, foreign
}

func pick(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

// probeTarget returns an address that may be that of an unknown or dropped member, or "". The lock is held.
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
	consider := func(address string) {
		if !known[address] {
			candidates = append(candidates, address)
		}
	}
	for _, address := range s.opts.Seeds {
		consider(address)
	}
	for _, address := range s.directory {
		consider(address)
	}
	for address := range s.addresses {
		consider(address)
	}
	s.lastProbe = now
	return pick(candidates)
}

// expire drops members that were silent and forgets old state. The lock is held.
func (s *Service) expire(now time.Time) {
	live := int64(0)
	for id, p := range s.presences {
		age := now.Sub(p.at)
		k := key{kindMember, id}
		switch {
		case id == s.opts.ID:
		case !p.dropped && age >= DropAfter:
			p.dropped = true
			s.generation++
			if e := s.table.entries[k]; e != nil && len(s.addresses) < maxDropped {
				if m := e.msg.(*peerpb.Member); !m.GetLeaving() {
					s.addresses[m.GetPeerAddress()] = now
				}
			}
			eventDropped.Log(s.ctx, s.opts.Logger, slog.String("member", id))
		case p.dropped && age >= recordLifetime:
			delete(s.presences, id)
			delete(s.table.entries, k)
			s.byHash[beatHash(id)] = slices.DeleteFunc(s.byHash[beatHash(id)], func(o string) bool { return o == id })
		case !p.dropped && age >= SuspectAfter && age < SuspectAfter+2*heartbeatInterval:
			s.generation++ // the pollers must not count on a suspected member
		}
		if !p.dropped {
			live++
		}
	}
	s.stats.live.Update(live)
	for k, e := range s.table.entries {
		if k.kind != kindMember && now.Sub(e.at) >= recordLifetime {
			delete(s.table.entries, k)
		}
	}
	for address, at := range s.addresses {
		if now.Sub(at) >= probeMemory {
			delete(s.addresses, address)
		}
	}
	for id, state := range s.peers {
		if now.Sub(state.used) >= recordWindow && !state.busy {
			delete(s.peers, id)
		}
	}
}
