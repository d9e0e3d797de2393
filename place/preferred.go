package place

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// preferredReplicas returns the two replicas that weighted rendezvous hashing ranks highest for the shared prefix of a
// prompt, so that requests with the same prefix find it in one cache. Both are nil for a prompt without a shared
// prefix, the second one also if there is only one replica. All instances that know the same replicas choose the same
// ones, and the choice changes only with the replicas and the classes of their standing speeds. Instances that differ in
// the class of a replica differ only in the prompts which that replica wins by the larger weight alone.
func (b *Balancer) preferredReplicas(replicas []*upstream.Replica, segments []relay.PromptSegment) (first, second *upstream.Replica) {
	if len(segments) < 2 {
		return nil, nil
	}
	// The last segment belongs to one request or session.
	shared := segments[len(segments)-2].ID
	firstScore, secondScore := 0.0, 0.0
	for _, r := range replicas {
		switch score := rendezvousScore(shared, r, b.preferredWeight(r)); {
		case score > firstScore:
			first, second, firstScore, secondScore = r, first, score, firstScore
		case score > secondScore:
			second, secondScore = r, score
		}
	}
	return first, second
}

// sharedTokens returns the length of the segments that other requests can share.
func sharedTokens(p *relay.Prompt) int {
	tokens := 0
	for _, segment := range p.SharedSegments() {
		tokens += segment.Tokens
	}
	return tokens
}

// rendezvousScore returns the score of a replica for a segment. Replicas win segments in proportion to their weight.
func rendezvousScore(segment uint64, r *upstream.Replica, weight float64) float64 {
	key := make([]byte, 8, 8+len(r.ID))
	binary.BigEndian.PutUint64(key, segment)
	hash := xxhash.Sum64(append(key, r.ID...))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
