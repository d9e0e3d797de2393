package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/retry"
)

// Guards against instances that each keep to their budget but exceed it together: in no window may the retries of all
// instances exceed the share of all requests by more than one for each instance.
func TestInstancesTogetherKeepTheBudget(t *testing.T) {
	for _, instances := range []int{9, 90} {
		g := gomega.NewWithT(t)
		const share, window = 0.2, 10 * time.Second
		random := rand.New(rand.NewPCG(1, uint64(instances)))
		budgets := make([]*retry.WindowBudget, instances)
		for i := range budgets {
			budgets[i] = retry.NewWindowBudget(share, window)
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		start := time.Unix(0, 0)
		for at := time.Duration(0); at < 60*time.Second; at += 5 * time.Millisecond {
			b, now := budgets[random.IntN(instances)], start.Add(at)
			b.RecordRequest(now)
			events = append(events, event{at, false})
			for at > 20*time.Second && b.Take(now) {
				events = append(events, event{at, true})
			}
		}
		for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
			requests, retries := 0, 0
			for _, e := range events {
				switch {
				case e.retry && e.at >= from && e.at < from+window:
					retries++
				case !e.retry && e.at >= from-window && e.at < from+window:
					requests++ // in the window itself or the one before it
				}
			}
			g.Expect(float64(retries)).To(gomega.BeNumerically("<=", share*float64(requests)+float64(instances)), "from %v", from)
		}
	}
}

// Guards against a budget that stays exhausted, and against one that counts requests that have left the window.
func TestWindowExpiresOldCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	w := retry.NewWindowBudget(0.1, 10*time.Second)
	now := time.Unix(0, 0)
	for range 100 {
		w.RecordRequest(now)
	}
	taken := 0
	for w.Take(now) {
		taken++
	}
	g.Expect(taken).To(gomega.Equal(11))
	now = now.Add(11 * time.Second)
	g.Expect(w.Take(now)).To(gomega.BeTrue(), "the burst is available again")
	g.Expect(w.Take(now)).To(gomega.BeFalse(), "expired requests allow no retries")
}
