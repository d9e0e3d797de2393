package daemon

import (
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/upstream"
)

// Guards against excluding a replica because an earlier incarnation of it was leaving, and against sending requests to
// a replica that a peer has reported as leaving.
func TestReplicaReportedAsLeavingByAPeer(t *testing.T) {
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
	g.Expect(replicas.Available("s")).To(gomega.HaveLen(1), "a new incarnation")
}
