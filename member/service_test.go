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

// Times within which every instance must notice a change.
const (
	leavingWithin = 2 * time.Second
	configWithin  = 13 * time.Second
	dropWithin    = member.DropAfter + 5*time.Second // dropping, preceded by the detection of a silent session
)

func liveCount(n *node) int { return len(n.service.Live()) }

// Guards against members that do not discover each other when they know only one address.
func TestMembersDiscoverEachOtherThroughOneSeed(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, nil, 6, "a1", "a2", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveCount(n)).To(gomega.Equal(18), n.service.Self())
			for _, other := range c.nodes {
				g.Expect(n.service.Suspected(other.service.Self()) && n != other).To(gomega.BeFalse())
			}
		}
	})
}

// Guards against false suspicion in a stable zone of the size expected in two years, where beats pass through several
// members.
func TestNoFalseSuspicionInFullZone(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, nil, 54, "a1")
		defer c.stop()
		time.Sleep(configWithin)
		for range 30 {
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				g.Expect(liveCount(n)).To(gomega.Equal(54))
				for _, other := range c.nodes {
					g.Expect(n.service.Suspected(other.service.Self())).To(gomega.BeFalse())
				}
			}
		}
	})
}

// Guards against false suspicion between zones, where a member's beat arrives several at a time.
func TestNoFalseSuspicionBetweenZones(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, nil, 6, "a1", "a2", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range c.nodes {
				for _, other := range c.nodes {
					g.Expect(n != other && n.service.Suspected(other.service.Self())).To(gomega.BeFalse(),
						"%s suspects %s", n.service.Self(), other.service.Self())
				}
			}
		}
	})
}

// Guards against an unreachable or paused member that is not dropped, or that cannot rejoin.
func TestSilentMemberIsDroppedAndRejoins(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, nil, 5, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		lost := c.nodes[4]
		c.network.Partition(func(a, b string) bool { return a == address("a1", 2) || b == address("a1", 2) })
		time.Sleep(member.DropAfter - 2*time.Second)
		g.Expect(liveCount(c.nodes[0])).To(gomega.Equal(10))
		g.Expect(c.nodes[0].service.Suspected(lost.service.Self())).To(gomega.BeTrue())
		time.Sleep(dropWithin - member.DropAfter + 2*time.Second)
		for _, n := range c.nodes {
			if n != lost {
				g.Expect(liveCount(n)).To(gomega.Equal(9), n.service.Self())
			}
		}
		g.Expect(liveCount(lost)).To(gomega.Equal(1))
		c.network.Partition(nil)
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveCount(n)).To(gomega.Equal(10), n.service.Self())
		}
	})
}

// Guards against regions that stay apart after a network partition of an hour, and against a configuration that does
// not reach the other region, or is reverted.
func TestPartitionHeals(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, newDocument(1, 0), 2, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		c.network.Partition(func(a, b string) bool { return a[0] != b[0] })
		time.Sleep(time.Hour)
		for _, n := range c.nodes {
			g.Expect(liveCount(n)).To(gomega.Equal(2), n.service.Self())
		}
		c.nodes[0].setDocument(2, newDocument(2, 0))
		time.Sleep(configWithin)
		c.network.Partition(nil)
		time.Sleep(configWithin)
		for _, n := range c.nodes {
			g.Expect(liveCount(n)).To(gomega.Equal(4), n.service.Self())
			g.Expect(n.versionInForce()).To(gomega.Equal(int64(2)), n.service.Self())
		}
	})
}

// Guards against an instance that cannot start while store and instance list are down, and against a restarted process
// that is mistaken for its predecessor.
func TestRestartDuringOutageFindsConfiguration(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		directory := memtopo.NewDirectory(0)
		directory.SetDown(true)
		c := startCluster(nil, newDocument(7, 3, "a1"), 3, "a1")
		c.directory = directory
		defer c.stop()
		time.Sleep(configWithin)
		old := c.nodes[2]
		old.stop()
		restarted := c.add("a1", 2, address("a1", 0), nil)
		time.Sleep(configWithin)
		g.Expect(restarted.versionInForce()).To(gomega.Equal(int64(7)))
		g.Expect(restarted.document().Models.Engines).To(gomega.HaveLen(3))
		time.Sleep(dropWithin)
		for _, n := range []*node{c.nodes[0], c.nodes[1], restarted} {
			g.Expect(liveCount(n)).To(gomega.Equal(3))
			_, known := n.service.Address(restarted.service.Self())
			g.Expect(known).To(gomega.BeTrue())
			g.Expect(n.service.Suspected(old.service.Self())).To(gomega.BeTrue())
		}
	})
}

// Guards against new work for a leaving upstream: every instance must learn of it within 2 s, although connections go
// silent at random and the instance list lags.
func TestLeavingUpstreamIsKnownEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		runInVirtualTime(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := newFakeEngines()
			c := startCluster(engines, newDocument(1, 6, "a1", "a2"), 12, "a1", "a2", "b1")
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
			marked := time.Now()
			c.nodes[int(seed)*7].service.MarkUpstreamLeaving("engine-a1-3", 1)
			time.Sleep(leavingWithin)
			for _, n := range c.nodes {
				at, known := n.leavingSince("engine-a1-3")
				g.Expect(known).To(gomega.BeTrue(), n.service.Self())
				g.Expect(at.Sub(marked)).To(gomega.BeNumerically("<=", leavingWithin))
			}
		})
	}
}

// Guards against a draining load report that only the polling instance acts on.
func TestDrainingReportReachesEveryInstance(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		engines := newFakeEngines()
		c := startCluster(engines, newDocument(1, 6, "a1", "a2"), 4, "a1", "a2")
		defer c.stop()
		time.Sleep(configWithin)
		engines.mu.Lock()
		engines.draining["engine-a2-1"] = true
		engines.mu.Unlock()
		time.Sleep(1100*time.Millisecond + leavingWithin) // the next poll, then the spreading of its result
		for _, n := range c.nodes {
			_, known := n.leavingSince("engine-a2-1")
			g.Expect(known).To(gomega.BeTrue(), n.service.Self())
		}
	})
}

// Guards against engines that no instance polls or that several instances poll, also after the polling instance has
// stopped, and against load records that do not reach every instance of the zone.
func TestEachEngineHasOnePoller(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		engines := newFakeEngines()
		c := startCluster(engines, newDocument(1, 10, "a1", "a2", "a3"), 4, "a1", "a2") // a3 has no instance
		defer c.stop()
		check := func(live []*node) {
			engines.resetPolls()
			for _, n := range live {
				n.mu.Lock()
				clear(n.loads)
				n.mu.Unlock()
			}
			time.Sleep(20 * time.Second)
			polls := engines.resetPolls()
			g.Expect(polls).To(gomega.HaveLen(30))
			for engine, count := range polls {
				g.Expect(count).To(gomega.BeNumerically("~", 20, 3), engine) // one a second with 10 % jitter
			}
			for _, n := range live {
				n.mu.Lock()
				zone := n.service.Self()[:2]
				for i := range 10 {
					id := newDocument(1, 10, zone).Models.Engines[i].ID
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

// Guards against an instance that still counts as live after a planned stop, and against suspicions that reach no other
// instance.
func TestLeaveAndSuspicionsSpread(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(nil, nil, 5, "a1", "b1")
		defer c.stop()
		time.Sleep(configWithin)
		c.nodes[3].service.Leave(context.Background())
		c.nodes[2].service.PublishSuspicion(&peerpb.Suspicion{Fingerprint: []byte("12345678"), Crashes: 2})
		time.Sleep(leavingWithin)
		for i, n := range c.nodes {
			g.Expect(liveCount(n)).To(gomega.Equal(9), n.service.Self())
			n.mu.Lock()
			if i != 2 {
				g.Expect(n.suspicions).To(gomega.HaveLen(1))
				g.Expect(n.suspicions[0].GetCrashes()).To(gomega.Equal(uint32(2)))
			}
			n.mu.Unlock()
		}
	})
}
