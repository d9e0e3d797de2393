package place_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against streams that are refused for their target latency although their callers have a part of them.
func TestTargetDoesNotCountForStreamsThatAreTakenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	now, balancer, list := time.Unix(0, 0), newBalancer(1), engines(1, 2)
	for i := range uint64(200) {
		for _, takenUp := range []bool{false, true} {
			req := newRequest(now, prompt(i, i))
			req.TakenUp = takenUp
			p, err := balancer.Choose(now, model, list, req)
			if err != nil && !takenUp {
				req.TakenUp = true
				_, err = balancer.Choose(now, model, list, req)
				g.Expect(err).NotTo(gomega.HaveOccurred(), "request %d", i)
				req.Deadline = now.Add(time.Millisecond)
				_, err = balancer.Choose(now, model, list, req)
				g.Expect(err).To(gomega.HaveOccurred(), "request %d", i)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred(), "request %d", i)
			if p.Prefill != nil {
				balancer.RecordSend(now, p.Prefill, p.UncachedTokens)
			} else {
				balancer.RecordSend(now, p.Replica, p.UncachedTokens)
			}
		}
	}
	t.Error("no request was refused")
}
