package authority

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// action is one step of a scenario. Process and Other select processes, Duration is the length of a pause or delay.
type action struct {
	After    time.Duration
	Kind     string
	Process  int
	Other    int
	Engine   string
	Duration time.Duration
}

// scenario is a random sequence of orders and faults.
type scenario struct {
	Seed      uint64
	Processes int
	FaultRate float64
	Actions   []action
}

// durations generates durations of min to max in whole milliseconds.
func durations(min, max time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.Int64Range(int64(min/time.Millisecond), int64(max/time.Millisecond)),
		func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond })
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Seed: rapid.Uint64().Draw(t, "seed"), Processes: rapid.IntRange(2, 5).Draw(t, "procs"),
		FaultRate: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "bad"),
	}
	for range rapid.IntRange(3, 40).Draw(t, "actions") {
		s.Actions = append(s.Actions, action{
			After: rapid.OneOf(
				durations(0, 20*time.Millisecond), durations(0, 4*time.Second), durations(0, 20*time.Second),
			).Draw(t, "after"),
			Kind: rapid.SampledFrom([]string{
				"order", "order", "order", "order", "order", "pause", "pause", "pause holder", "kill", "leave", "spawn",
				"fault: journal", "fault: forward", "fault: order", "fault: order", "fault: slow", "fault: slow",
				"fault: engine", "engine pause", "engine crash", "outage", "recover", "recover", "cut", "join", "join",
			}).Draw(t, "kind"),
			Process: rapid.IntRange(0, 9).Draw(t, "proc"), Other: rapid.IntRange(0, 9).Draw(t, "other"),
			Engine:   rapid.SampledFrom([]string{"checking", "plain"}).Draw(t, "engine"),
			Duration: rapid.OneOf(durations(0, 2*time.Second), durations(0, 40*time.Second)).Draw(t, "lasts"),
		})
	}
	return s
}

// runScenario runs a scenario, ends all faults, waits, and returns the violations.
func runScenario(s scenario) []string {
	c := newCluster(s.Seed, s.Processes)
	time.Sleep(6 * time.Second) // until the instance list shows the instances
	c.mu.Lock()
	c.faultRate = s.FaultRate
	c.mu.Unlock()
	for i, a := range s.Actions {
		time.Sleep(a.After)
		c.perform(i, a)
	}
	c.endFaults()
	time.Sleep(3 * time.Minute)
	entries, err := (journal{c.store}).list(context.Background())
	if err != nil {
		c.addViolation("list journal: %v", err)
	}
	for _, entry := range entries {
		if entry.Open() {
			c.addViolation("%s is still %s", entry.Order.ID, entry.State)
		}
	}
	c.stop()
	return c.violations
}

// perform carries out the action with the given index in its scenario.
func (c *cluster) perform(i int, a action) {
	processes := c.allProcesses()
	p, other := processes[a.Process%len(processes)], processes[a.Other%len(processes)]
	switch a.Kind {
	case "order":
		for _, holder := range processes {
			if _, holding := holder.holder.FencingToken(); holding && !holder.isDead() {
				id := fmt.Sprintf("o%d-%s", i, holder.id)
				c.goroutines.Go(func() { c.applyOrder(holder, a.Engine, id) })
			}
		}
	case "pause":
		p.pause(a.Duration)
	case "pause holder":
		for _, holder := range processes {
			if _, holding := holder.holder.FencingToken(); holding {
				holder.pause(a.Duration)
			}
		}
	case "kill":
		p.kill()
	case "leave":
		c.goroutines.Go(p.leave)
	case "spawn":
		c.spawn()
	case "fault: journal", "fault: forward", "fault: order", "fault: slow", "fault: engine":
		c.scheduleFault(strings.TrimPrefix(a.Kind, "fault: "), a.Duration)
	case "engine pause":
		c.engines[a.Engine].pause(a.Duration)
	case "engine crash":
		c.engines[a.Engine].crash()
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		switch a.Kind {
		case "outage", "recover":
			c.outage = a.Kind == "outage"
		case "cut", "join":
			c.disconnected[[2]string{p.id, other.id}] = a.Kind == "cut"
		}
	}
}

// scheduleFault schedules a fault for a coming call and replaces one that is already scheduled. The kinds "journal",
// "forward" and "order" pause the process that makes the next call of that kind, just before the call is sent. "slow"
// delays the next order to an engine without a pause, as a slow link does. "engine" pauses all engines when the next
// order is sent to one.
func (c *cluster) scheduleFault(kind string, duration time.Duration) {
	var once sync.Once
	var delayed atomic.Bool
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCall = func(call string, p *process, _ string) {
		switch {
		case call == kind:
			once.Do(func() { p.pause(duration) })
		case call == "order" && kind == "slow":
			if !delayed.Swap(true) {
				time.Sleep(min(duration, orderTimeout-5*time.Second))
			}
		case call == "order" && kind == "engine":
			once.Do(func() {
				for _, e := range c.engines {
					e.pause(duration)
				}
			})
		}
	}
}

// leave stops an instance gracefully and ends its process.
func (p *process) leave() {
	p.stop()
	time.Sleep(10 * time.Second)
	p.kill()
}

// stop stops the instance's holder and gate.
func (p *process) stop() error {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return p.gate.Stop(ctx)
}

// endFaults ends all faults and adds three instances, so that the region has at least three.
func (c *cluster) endFaults() {
	c.mu.Lock()
	c.outage, c.faultRate, c.disconnected, c.onCall = false, 0, map[[2]string]bool{}, nil
	c.mu.Unlock()
	for range 3 {
		c.spawn()
	}
}

// TestAuthorityUnderFaults guards against two orders in progress at one engine, against an order that takes effect
// after one with a higher fencing token, after a failure was reported, or without a gate's check, and against journal
// entries that stay open after the faults have ended.
func TestAuthorityUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runScenario(s) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}
