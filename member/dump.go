package member

import (
	"slices"
	"strings"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// Dump is the membership's part of the state dump of the process.
type Dump struct {
	Self             string       `json:"self"`
	Members          []DumpMember `json:"members"`
	Peers            []string     `json:"peers"`
	Polling          []string     `json:"polling"`
	Leaving          []string     `json:"leaving"`
	Loads            []DumpLoad   `json:"loads"`
	Zones            []string     `json:"zones"`
	DroppedAddresses []string     `json:"dropped_addresses"`
	Fetching         bool         `json:"fetching_configuration"`
}

// DumpMember is a member in the state dump.
type DumpMember struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	Address       string `json:"address"`
	ConfigVersion int64  `json:"config_version"`
	Leaving       bool   `json:"leaving,omitempty"`
	Suspected     bool   `json:"suspected,omitempty"`
	Dropped       bool   `json:"dropped,omitempty"`
	SilentMillis  int64  `json:"silent_millis"`
}

// DumpLoad is a load record in the state dump.
type DumpLoad struct {
	Upstream  string `json:"upstream"`
	Reporter  string `json:"reporter"`
	Seq       uint64 `json:"seq"`
	AgeMillis int64  `json:"age_millis"`
}

// Dump returns a copy of the state for the state dump.
func (s *Service) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	d := Dump{Self: s.opts.ID, Fetching: s.fetchInFlight}
	for k, e := range s.table.entries {
		switch k.kind {
		case kindMember:
			d.Members = append(d.Members, s.dumpMember(e.msg.(*peerpb.Member), now))
		case kindLoad:
			d.Loads = append(d.Loads, DumpLoad{
				Upstream: k.id, Reporter: e.origin, Seq: e.seq, AgeMillis: now.Sub(e.updatedAt).Milliseconds(),
			})
		case kindLeaving:
			d.Leaving = append(d.Leaving, k.id)
		case kindZone:
			d.Zones = append(d.Zones, k.id)
		}
	}
	for id := range s.peers {
		d.Peers = append(d.Peers, id)
	}
	for id := range s.pollers {
		d.Polling = append(d.Polling, id)
	}
	for address := range s.droppedAddresses {
		d.DroppedAddresses = append(d.DroppedAddresses, address)
	}
	for _, list := range [][]string{d.Peers, d.Polling, d.Leaving, d.Zones, d.DroppedAddresses} {
		slices.Sort(list)
	}
	slices.SortFunc(d.Members, func(a, b DumpMember) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Loads, func(a, b DumpLoad) int { return strings.Compare(a.Upstream, b.Upstream) })
	return d
}

func (s *Service) dumpMember(m *peerpb.Member, now time.Time) DumpMember {
	d := DumpMember{
		ID: m.GetId(), Region: m.GetRegion(), Zone: m.GetZone(), Address: m.GetPeerAddress(),
		ConfigVersion: m.GetConfigVersion(), Leaving: m.GetLeaving(),
	}
	if p := s.presences[m.GetId()]; p != nil {
		d.Dropped, d.Suspected = p.dropped, !p.dropped && s.suspected(m.GetId(), p, now)
		if m.GetId() != s.opts.ID {
			d.SilentMillis = now.Sub(p.lastBeatAt).Milliseconds()
		}
	}
	return d
}
