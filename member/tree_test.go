package member

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against members that a load record does not reach, that get it twice, or that get it from a member which is
// not one of their ring peers.
func TestEachMemberHasOneParent(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := 2; n <= 70; n++ {
		ring := zoneRing{positions: make(map[string]int)}
		for i := range n {
			id := fmt.Sprint(i)
			ring.positions[id] = i
			ring.ids = append(ring.ids, id)
		}
		origin := n / 3
		reached := map[int]bool{origin: true}
		for rounds := 0; len(reached) < n && rounds < n; rounds++ {
			for p := range n {
				var parents []int
				for i := range n {
					if i != p && ring.shouldForward(fmt.Sprint(origin), fmt.Sprint(i), fmt.Sprint(p)) {
						parents = append(parents, i)
					}
				}
				if p == origin {
					g.Expect(parents).To(gomega.BeEmpty())
					continue
				}
				g.Expect(parents).To(gomega.HaveLen(1), "member %d of %d", p, n)
				distance := (p - parents[0] + n) % n
				if n > maxFullMeshZone {
					g.Expect([]int{1, n - 1, ringStep(n), n - ringStep(n)}).To(gomega.ContainElement(distance))
				}
				if reached[parents[0]] {
					reached[p] = true
				}
			}
		}
		g.Expect(reached).To(gomega.HaveLen(n))
	}
}
