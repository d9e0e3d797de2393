package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/faultproxy"
	standin "rhubarbpoint/internal/standin/platform"
	"rhubarbpoint/upstream"
)

// scheduledFault is a fault that lasts for a time. run injects it and returns when it has ended.
type scheduledFault struct {
	name string
	run  func(c *cluster, random *rand.Rand, length time.Duration)
}

// scheduledFaults are the faults from which a schedule draws.
var scheduledFaults = []scheduledFault{
	{"instance killed", func(c *cluster, random *rand.Rand, length time.Duration) {
		c.randomInstance(random).restart(func(i *instance) {
			i.node.Kill()
			_ = i.node.WaitExit(exitTime)
		}, length/4)
	}},
	{"instance stopped", func(c *cluster, random *rand.Rand, length time.Duration) {
		c.randomInstance(random).restart((*instance).stopGracefully, length/4)
	}},
	{"instance paused", func(c *cluster, random *rand.Rand, length time.Duration) {
		c.randomInstance(random).pauseFor(length)
	}},
	{"settings read again", func(c *cluster, random *rand.Rand, _ time.Duration) {
		c.randomInstance(random).withProcess(func(i *instance) { i.node.Signal(syscall.SIGHUP) })
	}},
	{"store down", withStoreFault(func(length time.Duration) standin.Faults { return standin.Faults{Outage: standin.OutageRefuse} })},
	{"store hangs", withStoreFault(func(length time.Duration) standin.Faults { return standin.Faults{Outage: standin.OutageHang} })},
	{"store slow", withStoreFault(func(length time.Duration) standin.Faults { return standin.Faults{Delay: config.Duration(length / 8)} })},
	{"store loses answers", withStoreFault(func(length time.Duration) standin.Faults { return standin.Faults{LoseResponse: 0.5} })},
	{"store executes late", withStoreFault(func(length time.Duration) standin.Faults {
		return standin.Faults{LateShare: 0.5, Late: config.Duration(length)}
	})},
	{"store forgets", func(c *cluster, _ *rand.Rand, _ time.Duration) {
		c.callAdmin(http.MethodPost, "/admin/forget", struct{}{})
	}},
	{"store restored from a copy", func(c *cluster, _ *rand.Rand, length time.Duration) {
		c.callAdmin(http.MethodPost, "/admin/copy", struct{}{})
		time.Sleep(length)
		c.callAdmin(http.MethodPut, "/admin/faults", standin.Faults{Outage: standin.OutageRefuse})
		time.Sleep(length / 4)
		c.callAdmin(http.MethodPost, "/admin/restore", struct{}{})
		c.callAdmin(http.MethodPut, "/admin/faults", standin.Faults{})
		c.writer.rewrite()
	}},
	{"links slow", withLinkFault(func(l *faultproxy.Link, length time.Duration) { l.Set(faultproxy.Fault{Delay: length / 10}) })},
	{"links held towards the other side", withLinkFault(func(l *faultproxy.Link, _ time.Duration) { l.Set(faultproxy.Fault{HoldToTarget: true}) })},
	{"links held from the other side", withLinkFault(func(l *faultproxy.Link, _ time.Duration) { l.Set(faultproxy.Fault{HoldFromTarget: true}) })},
	{"links cut", withLinkFault(func(l *faultproxy.Link, _ time.Duration) {
		l.Set(faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true})
		l.Reset()
	})},
	{"links silent", withLinkFault(func(l *faultproxy.Link, _ time.Duration) { l.Silence() })},
	{"replica crashes", func(c *cluster, random *rand.Rand, length time.Duration) {
		time.Sleep(length / 4)
		c.replaceReplica(c.randomReplica(random), (*replica).crash)
	}},
	{"replica leaves", func(c *cluster, random *rand.Rand, _ time.Duration) {
		r := c.randomReplica(random)
		r.drain()
		c.replaceReplica(r, (*replica).crash)
	}},
	{"replica says that it leaves", func(c *cluster, random *rand.Rand, _ time.Duration) { c.leaveBySaying(c.randomReplica(random)) }},
	{"replica asks for pauses", func(c *cluster, random *rand.Rand, length time.Duration) {
		c.askForPauses(c.randomReplica(random), length)
	}},
	{"replica refuses", withReplicaFault(refuseRequests)},
	{"replica loses answers", withReplicaFault(loseResponses)},
	{"replica truncates answers", withReplicaFault(truncateResponses)},
	{"replica fails requests", withReplicaFault(failRequests)},
	{"replica omits lengths", withReplicaFault(omitLengths)},
	{"replica adds bytes", withReplicaFault(sendExtraResponses)},
	{"replica breaks streams off", withReplicaFault(breakStreams)},
	{"replica ends in order", func(c *cluster, random *rand.Rand, length time.Duration) {
		time.Sleep(length / 4)
		c.replaceReplica(c.randomReplica(random), (*replica).crashInOrder)
	}},
	{"replica slow", withReplicaFault(slowResponses)},
	{"replica sends heads without end", withReplicaFault(sendEndlessHeads)},
	{"replica sends bodies without end", withReplicaFault(sendEndlessBodies)},
	{"replica links held", func(c *cluster, random *rand.Rand, length time.Duration) { c.holdLink(c.randomReplica(random), length) }},
	{"replica links reset", func(c *cluster, random *rand.Rand, _ time.Duration) { c.randomReplica(random).link.Reset() }},
	{"authority cut off", withHolderOutage(func(i *instance) {
		defer i.recordFault()()
		link := i.linkTo(i.cluster.fleet.Platform.ID)
		link.Set(faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true})
		time.Sleep(holderOutageTime)
		link.Set(faultproxy.Fault{})
	})},
	{"authority paused", withHolderOutage(func(i *instance) { i.pauseFor(holderOutageTime) })},
	{"stages lost", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.resetStages() }},
	{"routes change", func(c *cluster, random *rand.Rand, _ time.Duration) { c.changeRoutes(1 + random.Int64N(4)) }},
	{"routes change quickly", func(c *cluster, random *rand.Rand, length time.Duration) {
		for range 6 {
			c.changeRoutes(1 + random.Int64N(4))
			time.Sleep(length / 10)
		}
	}},
}

// withStoreFault injects faults into the store for a time.
func withStoreFault(f func(time.Duration) standin.Faults) func(*cluster, *rand.Rand, time.Duration) {
	return func(c *cluster, _ *rand.Rand, length time.Duration) {
		c.callAdmin(http.MethodPut, "/admin/faults", f(length))
		time.Sleep(length)
		c.callAdmin(http.MethodPut, "/admin/faults", standin.Faults{})
	}
}

// withLinkFault injects a fault into all links of an instance for a time.
func withLinkFault(set func(*faultproxy.Link, time.Duration)) func(*cluster, *rand.Rand, time.Duration) {
	return func(c *cluster, random *rand.Rand, length time.Duration) {
		i := c.randomInstance(random)
		defer i.disturb()()
		list := i.allLinks()
		for _, l := range list {
			set(l, length)
		}
		time.Sleep(length)
		for _, l := range list {
			l.Set(faultproxy.Fault{})
		}
	}
}

// withReplicaFault injects a fault into a replica for a time.
func withReplicaFault(fault replicaFault) func(*cluster, *rand.Rand, time.Duration) {
	return func(c *cluster, random *rand.Rand, length time.Duration) {
		r := c.randomReplica(random)
		r.setFault(fault)
		time.Sleep(length)
		r.setFault(noFault)
	}
}

func (c *cluster) randomInstance(random *rand.Rand) *instance {
	return c.instances[random.IntN(len(c.instances))]
}

func (c *cluster) randomReplica(random *rand.Rand) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[random.IntN(len(c.replicas))]
}

// resetStages returns all prefill replicas but one to the decode stage, with a new incarnation, as a restart under the
// same ID does. The stage authority must then give orders again.
func (c *cluster) resetStages() {
	c.mu.Lock()
	list := append([]*replica{}, c.replicas...)
	c.mu.Unlock()
	prefillKept := false
	for _, r := range list {
		r.mu.Lock()
		changed := r.entry.Stage == upstream.Prefill && !r.changingStage && prefillKept
		if prefillKept = prefillKept || r.entry.Stage == upstream.Prefill; changed {
			r.entry.Stage, r.entry.Born, r.sequence = upstream.Decode, time.Now().UnixMilli(), 0
		}
		r.mu.Unlock()
		if changed {
			r.writeEntry()
		}
	}
}

// withHolderOutage interrupts the instance that gave the last order for longer than its authority lasts. It resets
// stages repeatedly until some time after the interruption has ended, so that there are orders to give.
func withHolderOutage(interrupt func(*instance)) func(*cluster, *rand.Rand, time.Duration) {
	return func(c *cluster, random *rand.Rand, _ time.Duration) {
		holder := c.randomInstance(random)
		if name := c.recorder.lastHolder(); name != "" {
			for _, i := range c.instances {
				if i.node.ID == name {
					holder = i
				}
			}
		}
		var interrupted sync.WaitGroup
		interrupted.Go(func() { interrupt(holder) })
		for end := time.Now().Add(holderOutageTime + longestFault); time.Now().Before(end); time.Sleep(shortestFault) {
			c.resetStages()
		}
		interrupted.Wait()
	}
}

// callAdmin calls an admin endpoint of the store's stand-in, with up to five attempts.
func (c *cluster) callAdmin(method, path string, body any) {
	for range 5 {
		if c.fleet.Admin(c.ctx, c.fleet.Platform, method, path, body) == nil {
			return
		}
	}
	c.recorder.recordViolation("soak: the store's stand-in did not accept %s %s", method, path)
}
