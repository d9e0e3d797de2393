package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/platform"
)

const (
	// crashingSegment is the prompt segment that crashes each replica which begins to answer a request with it.
	crashingSegment = "bad0:100"
	// soundSegments are the first ones of all long prompts.
	soundSegments = "1:2500,2:3800"
	crashingPause = 200 * time.Millisecond
	// crashesKnownAfter is the time after the last fault and the last crash by which all instances know the segment.
	crashesKnownAfter = 4 * time.Second
	// minKnownCrashes is the number of crashes after which the segment must be refused, maxLateArrivals that of requests
	// which may still reach replicas then.
	minKnownCrashes = 5
	maxLateArrivals = 3
)

func hasCrashingSegment(req *http.Request) bool {
	return strings.Contains(req.Header.Get(platform.HeaderPrefix), crashingSegment)
}

// crashUnder crashes the replica because of a request with the segment. It replaces it once.
func (r *replica) crashUnder() {
	r.crashed.Do(func() {
		r.cluster.recorder.increment(&r.cluster.recorder.counts.SegmentCrashes)
		r.cluster.replacing.Go(func() { r.cluster.replaceReplica(r, (*replica).crash) })
	})
}

// sendCrashing sends requests with the segment to all instances in turn, no two alike.
func (c *cluster) sendCrashing(stop <-chan struct{}) {
	client := &http.Client{Timeout: callerDeadline}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(crashingPause):
			c.sendCrashingTo(client, c.instances[n%len(c.instances)], n)
		}
	}
}

func (c *cluster) sendCrashingTo(client *http.Client, to *instance, n int) {
	sender := &caller{cluster: c, instance: to, kind: pathGrade, segments: soundSegments + "," + crashingSegment + ",%x:2600"}
	id := fmt.Sprintf("%s-crashing-%d", c.name, n)
	if status, _, err := sender.send(client, sender.instance, id); err == nil && status == http.StatusOK {
		c.recorder.recordViolation("complete own responses: request %s got a response, but its segment crashes replicas", id)
	}
}

// checkCrashingSegment checks that all instances refuse the segment if it has crashed enough replicas, and serve others.
func (c *cluster) checkCrashingSegment() {
	time.Sleep(crashesKnownAfter)
	before := c.recorder.snapshot()
	if before.SegmentCrashes < minKnownCrashes {
		return
	}
	client := &http.Client{Timeout: callerDeadline}
	defer client.CloseIdleConnections()
	requests, served := 3*len(c.instances), 0
	for n := range requests {
		// With pauses, so that replicas which have crashed are back.
		time.Sleep(crashingPause)
		to := c.instances[n%len(c.instances)]
		c.sendCrashingTo(client, to, 1_000_000+n)
		sound := &caller{cluster: c, instance: to, kind: pathGrade, segments: soundSegments + ",%x:2600"}
		if status, _, err := sound.send(client, sound.instance, fmt.Sprintf("%s-sound-%d", c.name, n)); err == nil && status == http.StatusOK {
			served++
		}
	}
	after := c.recorder.snapshot()
	if late := after.SegmentArrivals - before.SegmentArrivals; late > maxLateArrivals {
		c.recorder.recordViolation("crashing segment: %d of %d requests reached replicas after %d crashes", late, requests, before.SegmentCrashes)
	}
	if 2*served < requests {
		c.recorder.recordViolation("crashing segment: %d of %d sound requests with the same first segments were served", served, requests)
	}
}
