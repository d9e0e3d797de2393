package place

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// homes returns the replica on which requests with the same shared prompt should meet, and the next in line, or nil. They
// are the same for all instances that know the same replicas, and change only with the replicas themselves (weighted
// rendezvous).
func homes(replicas []*upstream.Replica, parts []relay.PromptSegment) (first, second *upstream.Replica) {
	if len(parts) < 2 {
		return nil, nil
	}
	// The last part belongs to one request or session.
	shared := parts[len(parts)-2].ID
	firstRank, secondRank := 0.0, 0.0
	for _, r := range replicas {
		switch rank := rendezvous(shared, r); {
		case rank > firstRank:
			first, second, firstRank, secondRank = r, first, rank, firstRank
		case rank > secondRank:
			second, secondRank = r, rank
		}
	}
	return first, second
}

// sharedTokens returns the length of the parts that other requests can have in common with the prompt.
func sharedTokens(p *relay.Prompt) int {
	tokens := 0
	for _, part := range p.Segments[:max(0, len(p.Segments)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// rendezvous ranks a replica for a part, in proportion to its pace.
func rendezvous(part uint64, r *upstream.Replica) float64 {
	key := make([]byte, 8, 8+len(r.ID))
	binary.BigEndian.PutUint64(key, part)
	hash := xxhash.Sum64(append(key, r.ID...))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -relativePace(r) / math.Log(uniform)
}
