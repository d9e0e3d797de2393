package daemon

import (
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/upstream"
)

// Guards against a replica that is excluded because an earlier start of it was leaving, and one that goes on getting
// requests although a peer has said that it leaves.
func TestALeavingReplicaOfAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	replicas := upstream.NewRegistry()
	replicas.Put(upstream.Replica{ID: "a", Service: "s", Born: 7})
	sink := leavingSink{replicas}
	sink.SetLeaving("a", 6)
	sink.SetLeaving("b", 7)
	g.Expect(replicas.Available("s")).To(gomega.HaveLen(1))
	sink.SetLeaving("a", 7)
	g.Expect(replicas.Available("s")).To(gomega.BeEmpty())
	g.Expect(replicas.Usable(upstream.Incarnation{ID: "a", Born: 7})).To(gomega.BeFalse())
	replicas.Put(upstream.Replica{ID: "a", Service: "s", Born: 8})
	g.Expect(replicas.Available("s")).To(gomega.HaveLen(1), "it has started again")
}
