package soak

import (
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shortestCut and longestCut bound the time for which instances are cut off from all replicas, cutPause is the longest
	// time between two cuts.
	shortestCut = 3 * time.Second
	longestCut  = 7 * time.Second
	cutPause    = 2 * time.Second
	// cutReturn is the time after a cut in which an instance may still forward requests.
	cutReturn = 2 * time.Second
)

// cutForm is what happens to connections that are open when a cut begins. New ones are refused or hang.
type cutForm struct {
	name        string
	hold, reset bool
	dial        string
}

var cutForms = []cutForm{
	{name: "all connections hang", hold: true, dial: "hang"},
	{name: "open connections reset, new ones refused", reset: true, dial: "refuse"},
	{name: "open connections live on, new ones refused", dial: "refuse"},
}

// cutFaults are the faults of the schedule that cuts instances off from all replicas.
var cutFaults = []scheduledFault{
	{"instances cut off from replicas", func(c *cluster, random *rand.Rand, _ time.Duration) {
		c.cutOff(cutForms[random.IntN(len(cutForms))], shortestCut+time.Duration(random.Int64N(int64(longestCut-shortestCut))))
		time.Sleep(time.Duration(random.Int64N(int64(cutPause))))
	}},
}

// drawMarked draws the instances whose connections are marked, by their IDs: at least one, and not all.
func drawMarked(seed uint64) map[string]bool {
	random := rand.New(rand.NewPCG(seed, cutSchedule+1))
	marked := make(map[string]bool)
	for _, n := range random.Perm(instances)[:1+random.IntN(instances-1)] {
		marked[entryID(n)] = true
	}
	return marked
}

// cutOff cuts the marked instances off from all replicas for a time and checks their service.
func (c *cluster) cutOff(form cutForm, length time.Duration) {
	begin := time.Now()
	check := newCutCheck(begin)
	for _, i := range c.instances {
		if c.marked[i.node.ID] {
			i.beginCut(begin)
			c.timeline.Info("instance cut off", "instance", i.node.ID, "form", form.name, "length", length.String())
		}
	}
	c.setCut(&form, check)
	time.Sleep(length)
	c.setCut(nil, nil)
	for _, i := range c.instances {
		if c.marked[i.node.ID] {
			i.endCut()
		}
	}
	time.Sleep(cutMargin)
	for _, i := range c.instances {
		if i.faultySince(begin) {
			check.exclude(i)
		}
	}
	c.recorder.increment(&c.recorder.counts.Cuts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutChecks = append(c.cutChecks, check)
}

// setCut begins a cut, or ends it if form is nil. New connections are cut first, so that none escapes.
func (c *cluster) setCut(form *cutForm, check *cutCheck) {
	var err error
	var pids []int
	for _, i := range c.instances {
		switch {
		case !c.marked[i.node.ID]:
		case form == nil:
			err = errors.CombineErrors(err, os.Remove(c.cutFile(i.node.ID)))
		default:
			err = errors.CombineErrors(err, os.WriteFile(c.cutFile(i.node.ID), i.cutText(form.dial), 0o600))
			pids = append(pids, i.currentProcess().PID())
		}
	}
	if err != nil {
		c.recorder.recordViolation("soak: cannot cut instances off: %v", err)
	}
	clients := localPorts(pids)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutCheck = check
	for _, r := range c.replicas {
		switch {
		case form == nil:
			r.link.Hold(nil)
		case form.hold:
			r.link.Hold(clients)
		case form.reset:
			r.link.ResetClients(clients)
		}
	}
}

// cutFile is the path of the file that cuts an instance off.
func (c *cluster) cutFile(id string) string { return filepath.Join(c.dir, id+".cut") }

// cutText returns the content of that file: what new connections do, and the ports of the store and of peers and of the links
// to them, on which the cut does not act.
func (i *instance) cutText(dial string) []byte {
	addresses := []string{i.cluster.fleet.Platform.Address}
	for _, other := range i.cluster.instances {
		addresses = append(addresses, other.node.Peer)
	}
	for _, l := range i.allLinks() {
		addresses = append(addresses, l.Address())
	}
	text := []byte(dial)
	for _, address := range addresses {
		_, port, _ := net.SplitHostPort(address)
		text = append(text, " "+port...)
	}
	return text
}
