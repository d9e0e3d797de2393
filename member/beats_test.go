package member

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/peer/peerpb"
)

// Guards against a silent member that appears alive, because its last beat reaches a peer again by another path.
func TestOldBeatsAreNotRelayed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Options{ID: "self", Region: "r", Zone: "a"})
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, arrivedAt := range map[string]time.Time{"recent": now.Add(-time.Second), "silent": now.Add(-4 * time.Second)} {
		s.table.merge(arrivedAt, "", memberEntry(&peerpb.Member{Id: id, Seq: 1, Region: "r", Zone: "b"}))
		s.observeBeat(id, 7, arrivedAt)
	}
	beats := s.beatsFor("peer", newPeerState(), now)
	g.Expect(beats).To(gomega.ConsistOf(beatHash("self")|1, beatHash("recent")|7))
}
