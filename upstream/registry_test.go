package upstream_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/upstream"
)

// fill puts replicas of one service into a new registry, one after another.
func fill(n int) *upstream.Registry {
	r := upstream.NewRegistry()
	for i := range n {
		r.Put(upstream.Replica{ID: fmt.Sprintf("i-%05d", i), Born: 1, Service: "s"})
	}
	return r
}

// Guards against an instance of a large deployment that spends its start on sorting: the work to learn of the replicas must
// grow with their number, not with its square. Memory stands for work, as it does not depend on the machine.
func TestLearningOfReplicasIsLinear(t *testing.T) {
	g := gomega.NewWithT(t)
	bytes := func(n int) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r := fill(n)
		runtime.ReadMemStats(&after)
		g.Expect(r.Available("s")).To(gomega.HaveLen(n))
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	bytes(10)
	g.Expect(bytes(4000) / bytes(1000)).To(gomega.BeNumerically("<", 8))
}

// Guards against a list that misses a change, or changes under a request that uses it.
func TestListsFollowEachChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := fill(3)
	ids := func() []string {
		var list []string
		for _, replica := range r.Available("s") {
			list = append(list, replica.ID)
		}
		return list
	}
	first := r.Available("s")
	g.Expect(ids()).To(gomega.Equal([]string{"i-00000", "i-00001", "i-00002"}))
	r.Put(upstream.Replica{ID: "i-00001", Born: 1, Service: "s", Draining: true})
	g.Expect(ids()).To(gomega.Equal([]string{"i-00000", "i-00002"}))
	r.MarkLeaving(time.Now(), upstream.Incarnation{ID: "i-00002", Born: 1})
	g.Expect(ids()).To(gomega.Equal([]string{"i-00000"}))
	r.Remove("i-00000")
	g.Expect(ids()).To(gomega.BeEmpty())
	g.Expect(first).To(gomega.HaveLen(3))
	g.Expect(first[1].Draining).To(gomega.BeFalse())
}
