package upstream_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/upstream"
)

// newFilledRegistry returns a registry to which n replicas of one service were added one by one.
func newFilledRegistry(n int) *upstream.Registry {
	r := upstream.NewRegistry()
	for i := range n {
		r.Put(upstream.Replica{ID: fmt.Sprintf("i-%05d", i), Born: 1, Service: "s"})
	}
	return r
}

// Guards against an instance of a large deployment that sorts its lists for each replica at its start: the work to add
// n replicas must not grow with n². Allocated bytes are the measure of work, since they do not depend on the machine.
func TestAddingReplicasIsLinear(t *testing.T) {
	g := gomega.NewWithT(t)
	allocated := func(n int) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r := newFilledRegistry(n)
		runtime.ReadMemStats(&after)
		g.Expect(r.Available("s")).To(gomega.HaveLen(n))
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	allocated(10)
	g.Expect(allocated(4000) / allocated(1000)).To(gomega.BeNumerically("<", 8))
}

// Guards against a list that misses a change, and against a list that changes while a request uses it.
func TestListsFollowEachChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newFilledRegistry(3)
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
