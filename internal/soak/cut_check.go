package soak

import (
	"sync"
	"time"
)

const (
	// cutNoticed is the time after the begin of a cut from which cut off instances must serve again.
	cutNoticed = 4 * time.Second
	// cutMargin is the time after a cut within which another fault still excludes an instance from the check: some of its
	// requests are under way.
	cutMargin = 500 * time.Millisecond
	// maxCutFailures first tries, and one in cutFailureShare, may fail at a cut off instance in any case.
	maxCutFailures  = 10
	cutFailureShare = 50
)

// cutCheck counts the first tries that callers send from cutNoticed on until the end of a cut. It is safe for concurrent use.
type cutCheck struct {
	from time.Time

	mu       sync.Mutex
	tries    map[*instance]*tries
	excluded map[*instance]bool
}

// tries are the first tries at an instance.
type tries struct{ sent, served int }

func newCutCheck(begin time.Time) *cutCheck {
	return &cutCheck{from: begin.Add(cutNoticed), tries: make(map[*instance]*tries), excluded: make(map[*instance]bool)}
}

// exclude leaves out an instance on which another fault acted.
func (c *cutCheck) exclude(i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excluded[i] = true
}

// firstTry records that a caller sends its first try to an instance. The returned function records the outcome.
func (c *cluster) firstTry(to *instance) (end func(served bool)) {
	c.mu.Lock()
	check := c.cutCheck
	c.mu.Unlock()
	if check == nil || time.Now().Before(check.from) {
		return func(bool) {}
	}
	check.mu.Lock()
	defer check.mu.Unlock()
	if check.tries[to] == nil {
		check.tries[to] = &tries{}
	}
	t := check.tries[to]
	t.sent++
	return func(served bool) {
		if served {
			check.mu.Lock()
			defer check.mu.Unlock()
			t.served++
		}
	}
}

// checkCuts checks that callers of cut off instances were served at least two thirds as often as those of the others.
// All callers have ended.
func (c *cluster) checkCuts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, check := range c.cutChecks {
		var others tries
		for i, t := range check.tries {
			if !c.marked[i.node.ID] && !check.excluded[i] {
				others.sent += t.sent
				others.served += t.served
			}
		}
		if others.sent == 0 {
			continue
		}
		for i, t := range check.tries {
			if !c.marked[i.node.ID] || check.excluded[i] {
				continue
			}
			c.recorder.recordCutTries(t)
			c.timeline.Info("cut checked", "instance", i.node.ID, "from", check.from, "sent", t.sent, "served", t.served,
				"others sent", others.sent, "others served", others.served)
			if t.sent-t.served > maxCutFailures+t.sent/cutFailureShare && 3*t.served*others.sent < 2*others.served*t.sent {
				c.recorder.recordViolation("cut off: %s served %d of %d first tries from %v on, the others %d of %d", i.node.ID, t.served, t.sent,
					check.from, others.served, others.sent)
			}
		}
	}
}

func (r *recorder) recordCutTries(t *tries) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.CutChecks++
	r.counts.CutTries += t.sent
	r.counts.CutServed += t.served
}
