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

// action is one step of a scenario.
type action struct {
	After  time.Duration
	Kind   string
	Proc   int
	Other  int
	Engine string
	Lasts  time.Duration
}

type scenario struct {
	Seed    uint64
	Procs   int
	Bad     float64
	Actions []action
}

func span(min, max time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.Int64Range(int64(min/time.Millisecond), int64(max/time.Millisecond)),
		func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond })
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Seed: rapid.Uint64().Draw(t, "seed"), Procs: rapid.IntRange(2, 5).Draw(t, "procs"),
		Bad: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "bad"),
	}
	for range rapid.IntRange(3, 40).Draw(t, "actions") {
		s.Actions = append(s.Actions, action{
			After: rapid.OneOf(span(0, 20*time.Millisecond), span(0, 4*time.Second), span(0, 20*time.Second)).Draw(t, "after"),
			Kind: rapid.SampledFrom([]string{
				"order", "order", "order", "order", "order", "pause", "pause", "pause holder", "kill", "leave", "spawn",
				"trap journal", "trap forward", "trap order", "trap order", "trap slow", "trap slow", "trap engine", "engine pause", "engine crash", "outage", "recover", "recover", "cut", "join", "join",
			}).Draw(t, "kind"),
			Proc: rapid.IntRange(0, 9).Draw(t, "proc"), Other: rapid.IntRange(0, 9).Draw(t, "other"),
			Engine: rapid.SampledFrom([]string{"checking", "plain"}).Draw(t, "engine"),
			Lasts:  rapid.OneOf(span(0, 2*time.Second), span(0, 40*time.Second)).Draw(t, "lasts"),
		})
	}
	return s
}

// play runs a scenario and returns what went wrong.
func play(s scenario) []string {
	w := newWorld(s.Seed, s.Procs)
	time.Sleep(6 * time.Second) // until the instance list shows the instances
	w.mu.Lock()
	w.bad = s.Bad
	w.mu.Unlock()
	for i, a := range s.Actions {
		time.Sleep(a.After)
		w.act(i, a)
	}
	w.heal()
	time.Sleep(3 * time.Minute)
	entries, err := (journal{w.store}).list(context.Background())
	if err != nil {
		w.fault("journal: %v", err)
	}
	for _, entry := range entries {
		if entry.Open() {
			w.fault("%s is still %s", entry.Order.ID, entry.State)
		}
	}
	w.stop()
	return w.faults
}

func (w *world) act(i int, a action) {
	procs := w.all()
	p, other := procs[a.Proc%len(procs)], procs[a.Other%len(procs)]
	switch a.Kind {
	case "order":
		for _, holder := range procs {
			if _, holding := holder.holder.FencingToken(); holding && !holder.isDead() {
				id := fmt.Sprintf("o%d-%s", i, holder.id)
				w.running.Go(func() { w.order(holder, a.Engine, id) })
			}
		}
	case "pause":
		p.pause(a.Lasts)
	case "pause holder":
		for _, holder := range procs {
			if _, holding := holder.holder.FencingToken(); holding {
				holder.pause(a.Lasts)
			}
		}
	case "kill":
		p.kill()
	case "leave":
		w.running.Go(p.leave)
	case "spawn":
		w.spawn()
	case "trap journal", "trap forward", "trap order", "trap slow", "trap engine":
		w.setTrap(strings.TrimPrefix(a.Kind, "trap "), a.Lasts)
	case "engine pause":
		w.engines[a.Engine].pause(a.Lasts)
	case "engine crash":
		w.engines[a.Engine].crash()
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		switch a.Kind {
		case "outage", "recover":
			w.outage = a.Kind == "outage"
		case "cut", "join":
			w.cut[[2]string{p.id, other.id}] = a.Kind == "cut"
		}
	}
}

// setTrap pauses the process that makes the next call of a kind just before it is sent, or the engine that gets it, or
// delays the call alone, as a slow link does.
func (w *world) setTrap(kind string, lasts time.Duration) {
	var once sync.Once
	var slowed atomic.Bool
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = func(call string, p *proc, _ string) {
		switch {
		case call == kind:
			once.Do(func() { p.pause(lasts) })
		case call == "order" && kind == "slow":
			if !slowed.Swap(true) {
				time.Sleep(min(lasts, orderTimeout-5*time.Second))
			}
		case call == "order" && kind == "engine":
			once.Do(func() {
				for _, e := range w.engines {
					e.pause(lasts)
				}
			})
		}
	}
}

// leave stops an instance gracefully.
func (p *proc) leave() {
	p.stop()
	time.Sleep(10 * time.Second)
	p.kill()
}

func (p *proc) stop() error {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return p.gate.Stop(ctx)
}

// heal ends all faults and brings the region to at least three instances.
func (w *world) heal() {
	w.mu.Lock()
	w.outage, w.bad, w.cut, w.onCall = false, 0, map[[2]string]bool{}, nil
	w.mu.Unlock()
	for range 3 {
		w.spawn()
	}
}

// TestAuthorityUnderFaults guards against two orders in progress at an engine, against an order that takes effect after
// one with a newer fencing number or without a gate's check, and against entries that stay open after the faults.
func TestAuthorityUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var found []string
		synctest.Test(t, func(*testing.T) { found = play(s) })
		if len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}
