package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load: beyond the burst, at most 10 in 100 requests are repeated.
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

// Guards against pauses that are too long, zero, or equal for all.
func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := 1; n < 100; n++ {
		low, high := Backoff(n, func() float64 { return 0 }), Backoff(n, func() float64 { return 1 })
		g.Expect(low).To(gomega.BeNumerically(">=", backoffBase/2))
		g.Expect(high).To(gomega.And(gomega.Equal(2*low), gomega.BeNumerically("<=", backoffMax)))
	}
}

// Guards against an ejection that leaves a request without a choice, whatever fails.
func TestNeverEjectsEverything(t *testing.T) {
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

// Guards against a recovered upstream that gets its whole load back at once, and against one that never returns.
func TestSlowReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	chance := 0.5
	h := NewHealthWith(func() float64 { return chance })
	start := time.Unix(0, 0)
	for i := range ejectAfter {
		g.Expect(h.RecordFailure(start, "a")).To(gomega.Equal(i == ejectAfter-1))
	}
	all := []string{"a", "b"}
	back := start.Add(ejectBase)
	g.Expect(h.Excluded(back.Add(-1), all)).To(gomega.HaveKey("a"))
	g.Expect(h.Excluded(back, all)).To(gomega.HaveKey("a"), "half of the requests is more than the first share")
	chance = returnShare / 2
	g.Expect(h.Excluded(back, all)).To(gomega.BeEmpty())
	chance = 0.99
	g.Expect(h.Excluded(back.Add(returnSpan), all)).To(gomega.BeEmpty())
	g.Expect(h.RecordFailure(back, "a")).To(gomega.BeTrue(), "a failure during the return ejects at once")
	g.Expect(h.Ejected(back)).To(gomega.HaveKeyWithValue("a", back.Add(2*ejectBase)))
	h.RecordSuccess(back.Add(2*ejectBase+returnSpan), "a")
	g.Expect(h.RecordFailure(back.Add(2*ejectBase+returnSpan), "a")).To(gomega.BeFalse(), "a full recovery forgets the past")
}
