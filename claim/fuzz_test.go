package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// action is one step of a scenario.
type action struct {
	After      time.Duration
	Kind       string
	Proc       int
	Key        int
	Deadline   time.Duration
	Disconnect time.Duration // when the caller disconnects; 0: it waits for the response
}

// scenario is a random test case. It is drawn completely before it runs, since rapid must not be called in a synctest
// bubble.
type scenario struct {
	Seed    uint64
	Skews   []time.Duration
	Keys    []time.Duration // timestamp of each key, relative to the start
	Store   float64         // fault rates
	Net     float64
	Send    float64
	Actions []action
}

func durationRange(min, max time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.Int64Range(int64(min/time.Millisecond), int64(max/time.Millisecond)),
		func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond })
}

func drawAction(t *rapid.T, procs, keys int) action {
	a := action{
		After: rapid.OneOf(durationRange(0, 50*time.Millisecond), durationRange(0, 3*time.Second), durationRange(0, 4*time.Minute)).Draw(t, "after"),
		Kind: rapid.SampledFrom([]string{
			"run", "run", "run", "run", "run", "run", "pause", "kill", "outage", "recover", "recover", "recover",
		}).Draw(t, "kind"),
		Proc:     rapid.IntRange(0, procs-1).Draw(t, "proc"),
		Key:      rapid.IntRange(0, keys-1).Draw(t, "key"),
		Deadline: durationRange(50*time.Millisecond, 40*time.Second).Draw(t, "deadline"),
	}
	if rapid.IntRange(0, 3).Draw(t, "hangs up") == 0 {
		a.Disconnect = durationRange(time.Millisecond, 5*time.Second).Draw(t, "hang up")
	}
	return a
}

func drawScenario(t *rapid.T) scenario {
	procs := rapid.IntRange(2, 5).Draw(t, "procs")
	keys := rapid.IntRange(1, 6).Draw(t, "keys")
	s := scenario{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Store: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "store"),
		Net:   rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "net"),
		Send:  rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "send"),
	}
	// Keys 16 minutes apart share a slot; clocks 8 minutes apart let both be accepted at the same time.
	skews := rapid.OneOf(rapid.SampledFrom([]time.Duration{0, 8 * time.Minute}), durationRange(-8*time.Minute, 8*time.Minute))
	offsets := rapid.OneOf(rapid.SampledFrom([]time.Duration{-8 * time.Minute, 8 * time.Minute}),
		durationRange(-time.Minute, time.Minute), durationRange(-18*time.Minute, 9*time.Minute))
	s.Skews = rapid.SliceOfN(skews, procs, procs).Draw(t, "skews")
	s.Keys = rapid.SliceOfN(offsets, keys, keys).Draw(t, "keys")
	for range rapid.IntRange(2, 40).Draw(t, "actions") {
		s.Actions = append(s.Actions, drawAction(t, procs, keys))
	}
	return s
}

// runScenario runs a scenario and returns the violations that the oracle finds.
func runScenario(s scenario) []string {
	sim := newSimulation(s.Seed, s.Skews)
	sim.storeFaultRate, sim.netFaultRate, sim.sendFaultRate = s.Store, s.Net, s.Send
	random := rand.New(rand.NewPCG(s.Seed, 2))
	keys := make([]string, len(s.Keys))
	for i, offset := range s.Keys {
		keys[i] = newKey(random, time.Now().Add(offset), true)
	}
	var callers sync.WaitGroup
	for _, a := range s.Actions {
		time.Sleep(a.After)
		p := sim.procs[a.Proc]
		switch a.Kind {
		case "run":
			callers.Go(func() { call(p, keys[a.Key], a) })
		case "pause":
			p.pause(a.Deadline)
		case "kill":
			p.kill()
		case "outage", "recover":
			sim.mu.Lock()
			sim.outage = a.Kind == "outage"
			sim.mu.Unlock()
		}
	}
	sim.clearFaults()
	time.Sleep(5 * time.Minute) // longer than all deadlines, pauses and delayed writes
	entries, _, err := sim.store.List(context.Background(), "claims/0/")
	sim.mu.Lock()
	if err == nil && len(entries) > slotsPerPartition {
		sim.violations = append(sim.violations, fmt.Sprintf("store holds %d slots of one partition", len(entries)))
	}
	sim.mu.Unlock()
	sim.stop()
	callers.Wait()
	return sim.check()
}

func call(p *proc, id string, a action) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	defer cancel()
	if a.Disconnect > 0 {
		time.AfterFunc(a.Disconnect, cancel)
	}
	p.run(ctx, id)
}

// TestAtMostOnceUnderFaults guards against a second execution of an order, against not_run for an order that is
// executed before or after that, and against responses to orders that were not executed.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var found []string
		synctest.Test(t, func(*testing.T) { found = runScenario(s) })
		if len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}
