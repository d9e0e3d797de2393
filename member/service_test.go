package member_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/member"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo/memtopo"
)

// Targets of the design page and the task.
const (
	leavingWithin = 2 * time.Second
	configWithin  = 13 * time.Second
	dropWithin    = member.DropAfter + 5*time.Second // dropping, and the detection of a silent session before it
)

func liveAt(n *node) int { return len(n.service.Live()) }

// Guards against members that never meet when they know only one address.
func TestMembersMeetThroughOneSeed(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := start(nil, nil, 6, "a1", "a2", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveAt(n)).To(gomega.Equal(18), n.service.Self())
			for _, other := range c.nodes {
				g.Expect(n.service.Suspected(other.service.Self()) && n != other).To(gomega.BeFalse())
			}
		}
	})
}

// Guards against false suspicion in a steady zone of the size of two years, where signs of life pass several members.
func TestNoFalseSuspicionInFullZone(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := start(nil, nil, 54, "a1")
		defer c.stop()
		time.Sleep(configWithin)
		for range 30 {
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				g.Expect(liveAt(n)).To(gomega.Equal(54))
				for _, other := range c.nodes {
					g.Expect(n.service.Suspected(other.service.Self())).To(gomega.BeFalse())
				}
			}
		}
	})
}

// Guards against an unreachable or paused member that keeps its place, or that cannot come back.
func TestSilentMemberIsDroppedAndComesBack(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := start(nil, nil, 5, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		lost := c.nodes[4]
		c.network.Partition(func(a, b string) bool { return a == address("a1", 2) || b == address("a1", 2) })
		time.Sleep(member.DropAfter - 2*time.Second)
		g.Expect(liveAt(c.nodes[0])).To(gomega.Equal(10))
		g.Expect(c.nodes[0].service.Suspected(lost.service.Self())).To(gomega.BeTrue())
		time.Sleep(dropWithin - member.DropAfter + 2*time.Second)
		for _, n := range c.nodes {
			if n != lost {
				g.Expect(liveAt(n)).To(gomega.Equal(9), n.service.Self())
			}
		}
		g.Expect(liveAt(lost)).To(gomega.Equal(1))
		c.network.Partition(nil)
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveAt(n)).To(gomega.Equal(10), n.service.Self())
		}
	})
}

// Guards against halves that stay apart after a partition of an hour between regions, and against a configuration that
// does not reach the other half, or reverts.
func TestPartitionHeals(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := start(nil, documentOf(1, 0), 2, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		c.network.Partition(func(a, b string) bool { return a[0] != b[0] })
		time.Sleep(time.Hour)
		for _, n := range c.nodes {
			g.Expect(liveAt(n)).To(gomega.Equal(2), n.service.Self())
		}
		c.nodes[0].set(2, documentOf(2, 0))
		time.Sleep(configWithin)
		c.network.Partition(nil)
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveAt(n)).To(gomega.Equal(4), n.service.Self())
			g.Expect(n.inForce()).To(gomega.Equal(int64(2)), n.service.Self())
		}
	})
}

// Guards against an instance that cannot start while store and instance list are down, and against a restarted process
// taken for its predecessor.
func TestRestartDuringOutageFindsConfiguration(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		directory := memtopo.NewDirectory(0)
		directory.SetDown(true)
		c := start(nil, documentOf(7, 3, "a1"), 3, "a1")
		c.directory = directory
		defer c.stop()
		time.Sleep(configWithin)
		old := c.nodes[2]
		old.stop()
		fresh := c.add("a1", 2, address("a1", 0), nil)
		time.Sleep(configWithin)
		g.Expect(fresh.inForce()).To(gomega.Equal(int64(7)))
		g.Expect(fresh.document().Models.Engines).To(gomega.HaveLen(3))
		time.Sleep(dropWithin)
		for _, n := range []*node{c.nodes[0], c.nodes[1], fresh} {
			g.Expect(liveAt(n)).To(gomega.Equal(3))
			_, known := n.service.Address(fresh.service.Self())
			g.Expect(known).To(gomega.BeTrue())
			g.Expect(n.service.Suspected(old.service.Self())).To(gomega.BeTrue())
		}
	})
}

// Guards against new work for a leaving upstream: every instance must know within 2 s although the instance list lags
// and connections go silent at random.
func TestLeavingUpstreamIsKnownEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		virtual(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fleet := newEngines()
			c := start(fleet, documentOf(1, 6, "a1", "a2"), 12, "a1", "a2", "b1")
			defer c.stop()
			time.Sleep(configWithin)
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 1))
			c.network.SetFault(func(string, string) bool {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(500) == 0
			})
			time.Sleep(5 * time.Second)
			learned := time.Now()
			c.nodes[int(seed)*7].service.MarkUpstreamLeaving("engine-a1-3", 1)
			time.Sleep(leavingWithin)
			for _, n := range c.nodes {
				at, known := n.leftAt("engine-a1-3")
				g.Expect(known).To(gomega.BeTrue(), n.service.Self())
				g.Expect(at.Sub(learned)).To(gomega.BeNumerically("<=", leavingWithin))
			}
		})
	}
}

// Guards against a draining load report that only the polling instance acts on.
func TestDrainingReportReachesEveryInstance(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newEngines()
		c := start(fleet, documentOf(1, 6, "a1", "a2"), 4, "a1", "a2")
		defer c.stop()
		time.Sleep(configWithin)
		fleet.mu.Lock()
		fleet.draining["engine-a2-1"] = true
		fleet.mu.Unlock()
		time.Sleep(1100*time.Millisecond + leavingWithin) // the next poll and the spreading
		for _, n := range c.nodes {
			_, known := n.leftAt("engine-a2-1")
			g.Expect(known).To(gomega.BeTrue(), n.service.Self())
		}
	})
}

// Guards against engines that nobody polls or that several instances poll, also after the poller has gone, and against
// load records that do not reach the zone.
func TestEachEngineHasOnePoller(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newEngines()
		c := start(fleet, documentOf(1, 10, "a1", "a2", "a3"), 4, "a1", "a2") // a3 has no instance
		defer c.stop()
		check := func(live []*node) {
			fleet.reset()
			for _, n := range live {
				n.mu.Lock()
				clear(n.loads)
				n.mu.Unlock()
			}
			time.Sleep(20 * time.Second)
			polls := fleet.reset()
			g.Expect(polls).To(gomega.HaveLen(30))
			for engine, count := range polls {
				g.Expect(count).To(gomega.BeNumerically("~", 20, 3), engine) // one a second with 10 % jitter
			}
			for _, n := range live {
				n.mu.Lock()
				zone := n.service.Self()[:2]
				for i := range 10 {
					id := documentOf(1, 10, zone).Models.Engines[i].ID
					g.Expect(n.loads[id]).To(gomega.BeNumerically(">=", 2), "%s at %s", id, n.service.Self())
				}
				n.mu.Unlock()
			}
		}
		time.Sleep(configWithin)
		check(c.nodes)
		c.nodes[1].stop()
		c.nodes[4].stop()
		time.Sleep(dropWithin)
		check([]*node{c.nodes[0], c.nodes[2], c.nodes[3], c.nodes[5], c.nodes[6], c.nodes[7]})
	})
}

// Guards against a planned stop that leaves the instance among the live members, and against suspicions that stay on
// one instance.
func TestLeaveAndSuspicionsSpread(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := start(nil, nil, 5, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		c.nodes[3].service.Leave(context.Background())
		c.nodes[2].service.PublishSuspicion(&peerpb.Suspicion{Fingerprint: []byte("12345678"), Crashes: 2})
		time.Sleep(leavingWithin)
		for i, n := range c.nodes {
			g.Expect(liveAt(n)).To(gomega.Equal(9), n.service.Self())
			n.mu.Lock()
			if i != 2 {
				g.Expect(n.beside).To(gomega.HaveLen(1))
				g.Expect(n.beside[0].GetCrashes()).To(gomega.Equal(uint32(2)))
			}
			n.mu.Unlock()
		}
	})
}
