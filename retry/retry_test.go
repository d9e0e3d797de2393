package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load: beyond the burst, at most 10 of 100 requests may be retried.
func TestBudgetBoundsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget()
	for b.Take() {
	}
	taken := 0
	for range 10_000 {
		b.RecordRequest()
		if b.Take() {
			taken++
		}
	}
	g.Expect(taken).To(gomega.BeNumerically("~", 1000, 1))
}

// Guards against a backoff that is zero, exceeds its maximum or has no jitter.
func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := 1; n < 100; n++ {
		low, high := Backoff(n, func() float64 { return 0 }), Backoff(n, func() float64 { return 1 })
		g.Expect(low).To(gomega.BeNumerically(">=", baseBackoff/2))
		g.Expect(high).To(gomega.And(gomega.Equal(2*low), gomega.BeNumerically("<=", maxBackoff)))
	}
}

// Guards against ejections that leave a request without candidates: whichever upstreams fail, at least half of them
// must remain.
func TestExcludedIsAtMostHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHealthWith(func() float64 { return 0 })
		n := rapid.IntRange(1, 9).Draw(t, "upstreams")
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("u", i))
		}
		now := time.Unix(0, 0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			h.RecordFailure(now, rapid.SampledFrom(all).Draw(t, "upstream"))
			if left := n - len(h.Excluded(now, all)); left < 1 || left*2 < n {
				t.Fatalf("%d of %d left", left, n)
			}
		}
	})
}

// Guards against an upstream that gets its full share of requests directly after an ejection, and against one that
// never gets it back.
func TestSlowStart(t *testing.T) {
	g := gomega.NewWithT(t)
	chance := 0.5
	h := NewHealthWith(func() float64 { return chance })
	start := time.Unix(0, 0)
	for i := range ejectAfter {
		g.Expect(h.RecordFailure(start, "a")).To(gomega.Equal(i == ejectAfter-1))
	}
	all := []string{"a", "b"}
	ejectionEnd := start.Add(baseEjectionTime)
	g.Expect(h.Excluded(ejectionEnd.Add(-1), all)).To(gomega.HaveKey("a"))
	g.Expect(h.Excluded(ejectionEnd, all)).To(gomega.HaveKey("a"), "a draw of 0.5 exceeds the initial share of the slow start")
	chance = slowStartShare / 2
	g.Expect(h.Excluded(ejectionEnd, all)).To(gomega.BeEmpty())
	chance = 0.99
	g.Expect(h.Excluded(ejectionEnd.Add(slowStartDuration), all)).To(gomega.BeEmpty())
	g.Expect(h.RecordFailure(ejectionEnd, "a")).To(gomega.BeTrue(), "one failure during the slow start ejects again")
	g.Expect(h.Ejected(ejectionEnd)).To(gomega.HaveKeyWithValue("a", ejectionEnd.Add(2*baseEjectionTime)))
	h.RecordSuccess(ejectionEnd.Add(2*baseEjectionTime+slowStartDuration), "a")
	g.Expect(h.RecordFailure(ejectionEnd.Add(2*baseEjectionTime+slowStartDuration), "a")).To(gomega.BeFalse(), "a success after the slow start clears the failure count")
}
