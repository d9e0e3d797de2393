package place

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// home returns the nearby replica on which requests with the same shared prompt should meet, or nil. It is the same for
// all instances of a zone that know the same replicas, and moves only with the replica itself (weighted rendezvous).
func (b *Board) home(replicas []*upstream.Replica, parts []relay.Part) *upstream.Replica {
	if len(parts) < 2 {
		return nil
	}
	// The last part belongs to one request or session.
	shared := parts[len(parts)-2].ID
	var best *upstream.Replica
	bestTrip, bestRank := math.Inf(1), 0.0
	for _, r := range replicas {
		trip, rank := b.trip(r), rendezvous(shared, r)
		if trip < bestTrip || trip == bestTrip && rank > bestRank {
			best, bestTrip, bestRank = r, trip, rank
		}
	}
	return best
}

// rendezvous ranks a replica for a part, in proportion to its pace.
func rendezvous(part uint64, r *upstream.Replica) float64 {
	digest := fnv.New64a()
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], part)
	digest.Write(key[:])
	digest.Write([]byte(r.ID))
	// The multiplication spreads the last bytes over the whole hash.
	hash := digest.Sum64() * 0x9e3779b97f4a7c15
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if r.Stage != upstream.Prefill {
		weight = decodePace
	}
	return -weight / math.Log(uniform)
}
