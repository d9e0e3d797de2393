package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/upstream"
)

const (
	// outOfStepTime is the least time that an instance is out of step beside a release, and outOfStepSpread what is added to it
	// at most.
	outOfStepTime   = 3 * time.Second
	outOfStepSpread = 2 * time.Second
	// releaseStep is the time between two replicas that are replaced one after another.
	releaseStep = 300 * time.Millisecond
	// replicasEnded is the number of replicas that end in order, one after another, in one fault.
	replicasEnded = 5
	// renewalTime bounds the time for which the entry of a replica that has started again is late.
	renewalTime = time.Second
	// restartTime is how long a replica that starts again under its address is down.
	restartTime = 100 * time.Millisecond
)

// streamFaults are the faults of a schedule that acts on streams.
var streamFaults = []scheduledFault{
	{"release beside a paused instance", releaseBeside(func(i *instance, length time.Duration) { i.pauseFor(length) })},
	{"release beside an instance cut off", releaseBeside(func(i *instance, length time.Duration) {
		i.faultAllLinks(length, faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true}, true)
	})},
	{"release beside an instance with held links", releaseBeside(func(i *instance, length time.Duration) {
		i.faultAllLinks(length, faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true}, false)
	})},
	{"replicas end in order", func(c *cluster, random *rand.Rand, _ time.Duration) {
		for range replicasEnded {
			c.replaceReplica(c.randomStreamReplica(random), (*replica).crashInOrder)
			time.Sleep(shortestFault)
		}
	}},
	{"instances killed", func(c *cluster, random *rand.Rand, length time.Duration) { c.killInstances(random, nil, length) }},
}

// restartInPlace is another one of these faults, with Options.RestartInPlace.
var restartInPlace = scheduledFault{"replica restarts at another version", func(c *cluster, random *rand.Rand, _ time.Duration) {
	c.restartAtNewVersion(random)
}}

// releaseBeside replaces replicas by ones of a new version while an instance is out of step, and kills other instances, so
// that streams which began at the new version are taken up there.
func releaseBeside(interrupt func(*instance, time.Duration)) func(*cluster, *rand.Rand, time.Duration) {
	return func(c *cluster, random *rand.Rand, length time.Duration) {
		outOfStep := c.randomInstance(random)
		outage := outOfStepTime + time.Duration(random.Int64N(int64(outOfStepSpread)))
		release := c.newRelease(random)
		c.timeline.Info("instance out of step", "instance", outOfStep.node.ID, "for", outage.String())
		var running sync.WaitGroup
		running.Go(func() { interrupt(outOfStep, outage) })
		time.Sleep(shortestFault)
		running.Go(release)
		for range 2 {
			time.Sleep(outage / 4)
			c.killInstances(random, outOfStep, length)
		}
		running.Wait()
	}
}

// killInstances kills one or two instances other than the given one, and starts them again after a time.
func (c *cluster) killInstances(random *rand.Rand, except *instance, length time.Duration) {
	var killed sync.WaitGroup
	left := 1 + random.IntN(2)
	for _, n := range random.Perm(len(c.instances)) {
		i := c.instances[n]
		if i == except || left == 0 {
			continue
		}
		left--
		c.timeline.Info("instance killed", "instance", i.node.ID)
		killed.Go(func() {
			i.restart(func(i *instance) {
				i.node.Kill()
				_ = i.node.WaitExit(exitTime)
			}, length/4)
		})
	}
	killed.Wait()
}

// newRelease draws a release of a service: one half of its replicas or all, at once or one after another, are replaced by
// ones of a new version, which break more streams off for a time. The old ones drain and end in order.
func (c *cluster) newRelease(random *rand.Rand) (run func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := streamServices[random.IntN(len(streamServices))]
	for _, n := range random.Perm(len(streamServices)) {
		// While a service has had one version only, an instance need not know where single streams began.
		if c.releases[streamServices[n]] == 0 {
			service = streamServices[n]
		}
	}
	c.releases[service]++
	version := versionName(c.releases[service])
	var old []*replica
	for _, r := range c.replicas {
		if r.entry.Service == service {
			old = append(old, r)
		}
	}
	if random.IntN(2) == 0 {
		old = old[:(len(old)+1)/2]
	}
	c.timeline.Info("release", "service", service, "version", version, "replaced", len(old))
	step := time.Duration(random.IntN(2)) * releaseStep
	return func() {
		var draining sync.WaitGroup
		for _, r := range old {
			if err := c.addReplica(service, version, upstream.Whole); err != nil {
				c.recorder.recordViolation("soak: cannot start a new replica: %v", err)
			}
			draining.Go(func() {
				r.drain()
				c.endReplica(r, (*replica).crashInOrder)
			})
			time.Sleep(step)
		}
		draining.Wait()
	}
}

// restartAtNewVersion starts a replica of a streaming service again, under its ID and address, at a new version. The store
// has its new entry a little later.
func (c *cluster) restartAtNewVersion(random *rand.Rand) {
	r := c.randomStreamReplica(random)
	c.mu.Lock()
	c.releases[r.entry.Service]++
	version := versionName(c.releases[r.entry.Service])
	c.mu.Unlock()
	c.timeline.Info("replica restarts", "replica", r.entry.ID, "version", version)
	r.restart(version, restartTime+time.Duration(random.Int64N(int64(renewalTime))))
}

// randomStreamReplica returns a replica of a service that only streams.
func (c *cluster) randomStreamReplica(random *rand.Rand) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []*replica
	for _, r := range c.replicas {
		if slices.Contains(streamServices, r.entry.Service) {
			candidates = append(candidates, r)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// faultAllLinks injects a fault into all links from and to the instance for a time.
func (i *instance) faultAllLinks(length time.Duration, f faultproxy.Fault, reset bool) {
	defer i.disturb()()
	links := i.allLinks()
	for _, other := range i.cluster.instances {
		if l := other.linkTo(i.node.ID); l != nil {
			links = append(links, l)
		}
	}
	for _, l := range links {
		l.Set(f)
		if reset {
			l.Reset()
		}
	}
	time.Sleep(length)
	for _, l := range links {
		l.Set(faultproxy.Fault{})
	}
}
