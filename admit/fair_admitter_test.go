package admit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// offerFor sends requests of 0.1 s of engine time at fixed rates and returns the admitted number of each workspace.
func offerFor(f *FairAdmitter, from time.Time, length time.Duration, perSecond map[string]int, weight map[string]float64) map[string]int {
	admitted := map[string]int{}
	const tick = 10 * time.Millisecond
	names := []string{"a", "b", "c", "flood"}
	due := map[string]float64{}
	for at := time.Duration(0); at < length; at += tick {
		now := from.Add(at)
		for _, name := range names {
			for due[name] += float64(perSecond[name]) * tick.Seconds(); due[name] >= 1; due[name]-- {
				w := weight[name]
				if w == 0 {
					w = 1
				}
				req := &Request{Workspace: name, Weight: w, Cost: 0.1, Deadline: now.Add(time.Minute), EstimatedFinish: now.Add(time.Second)}
				if release, err := f.Admit(now, req); err == nil {
					admitted[name]++
					release(now)
				}
			}
		}
	}
	return admitted
}

// Guards against a workspace that floods the instance with requests and takes the share of other workspaces.
func TestFloodLeavesOthersAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewFairAdmitter()
	f.SetCapacity(epoch, 3) // 30 requests/s
	offerFor(f, epoch, 10*time.Second, map[string]int{"a": 5, "b": 5}, nil)
	got := offerFor(f, epoch.Add(10*time.Second), 20*time.Second, map[string]int{"a": 5, "b": 5, "flood": 500}, nil)
	g.Expect(got["a"]).To(gomega.BeNumerically(">=", 99))
	g.Expect(got["b"]).To(gomega.BeNumerically(">=", 99))
	g.Expect(got["flood"]).To(gomega.BeNumerically("<=", 25*20))
}

// Guards against limits while the capacity covers all requests.
func TestNoLimitsWithSpareCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewFairAdmitter()
	f.SetCapacity(epoch, 3)
	got := offerFor(f, epoch, 20*time.Second, map[string]int{"flood": 25}, nil)
	g.Expect(got["flood"]).To(gomega.BeNumerically(">=", 499)) // all requests
}

// Guards against shares that are not in proportion to the weights.
func TestSharesFollowWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewFairAdmitter()
	f.SetCapacity(epoch, 3)
	rates := map[string]int{"a": 100, "b": 100}
	weights := map[string]float64{"a": 3, "b": 1}
	offerFor(f, epoch, 10*time.Second, rates, weights)
	got := offerFor(f, epoch.Add(10*time.Second), 30*time.Second, rates, weights)
	g.Expect(float64(got["a"]) / float64(got["b"])).To(gomega.BeNumerically("~", 3, 0.3))
}

// Guards against a request that is admitted although it cannot finish by its deadline.
func TestTooLateIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewFairAdmitter().Admit(epoch, &Request{Workspace: "a", Deadline: epoch.Add(time.Second), EstimatedFinish: epoch.Add(2 * time.Second)})
	g.Expect(err).To(gomega.MatchError(ErrTooLate))
}

// Guards against all retries of an outage starting in the second in which it ends.
func TestRecoveryRamps(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewFairAdmitter()
	f.SetCapacity(epoch, 3)
	f.SetCapacity(epoch.Add(time.Second), 0)
	f.SetCapacity(epoch.Add(60*time.Second), 3)
	first := offerFor(f, epoch.Add(60*time.Second), time.Second, map[string]int{"a": 1000, "b": 1000}, nil)
	g.Expect(first["a"] + first["b"]).To(gomega.BeNumerically("<=", 30)) // one second of the whole capacity
	g.Expect(first["a"]).To(gomega.BeNumerically(">", 0))
	g.Expect(first["b"]).To(gomega.BeNumerically(">", 0))
}

// Guards against a division that exceeds the capacity, or that limits a claimant whose demand is below its share.
func TestWaterLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0.1, 100).Draw(t, "capacity")
		var list []claimant
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			list = append(list, claimant{
				weight: rapid.Float64Range(0.01, 100).Draw(t, "weight"), demand: rapid.Float64Range(0, 100).Draw(t, "demand"),
			})
		}
		l, used, demand, weights := waterLevel(capacity, list), 0.0, 0.0, 0.0
		for _, c := range list {
			used += min(c.demand, c.weight*l)
			demand += c.demand
			weights += c.weight
		}
		if used > min(capacity, demand)*1.0001 || used < min(capacity, demand)*0.9999 {
			t.Fatalf("used %v of %v, demand %v", used, capacity, demand)
		}
		for _, c := range list {
			if c.demand <= c.weight*capacity/weights && c.weight*l < c.demand*0.9999 {
				t.Fatal("a claimant with a demand below its share is limited")
			}
		}
	})
}
