package authority

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// inRegion runs a test in virtual time with instances that have elected a holder, for each kind of engine.
func inRegion(t *testing.T, procs int, test func(g *gomega.WithT, w *world, engineID string)) {
	for _, engineID := range []string{"checking", "plain"} {
		t.Run(engineID, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, procs)
				time.Sleep(6 * time.Second)
				g := gomega.NewWithT(t)
				defer func() {
					w.stop()
					g.Expect(w.faults).To(gomega.BeEmpty())
				}()
				test(g, w, engineID)
			})
		})
	}
}

// pauseAt pauses the process that makes a call of the kind for the order, just before the call leaves it.
func (w *world) pauseAt(kind, order string, lasts time.Duration) {
	var once sync.Once
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = func(call string, p *proc, text string) {
		if call == kind && strings.Contains(text, order) {
			once.Do(func() { p.pause(lasts) })
		}
	}
}

// insist gives an order again while an older one is being reconciled.
func (w *world) insist(p *proc, engineID, id string) error {
	for range 20 {
		if err := w.order(p, engineID, id); !errors.Is(err, ErrBusy) {
			return err
		}
		time.Sleep(time.Second)
	}
	return ErrBusy
}

// Guards against an effect of an old holder that was paused between its check and its write, of the journal or to the
// gate, for longer than its lease, while a successor acted.
func TestPausedHolderHasNoEffect(t *testing.T) {
	for _, kind := range []string{"journal", "forward"} {
		inRegion(t, 3, func(g *gomega.WithT, w *world, engineID string) {
			first := w.current()
			g.Expect(w.order(first, engineID, "before")).To(gomega.Succeed())
			w.pauseAt(kind, "old", 40*time.Second)
			result := make(chan error, 1)
			go func() { result <- w.order(first, engineID, "old") }()
			time.Sleep(15 * time.Second)
			second := w.current()
			g.Expect(second).NotTo(gomega.BeIdenticalTo(first))
			g.Expect(w.insist(second, engineID, "new")).To(gomega.Succeed())
			g.Expect(first.isPaused()).To(gomega.BeTrue())
			g.Expect(<-result).To(gomega.HaveOccurred())
			time.Sleep(time.Minute)
			g.Expect(w.engines[engineID].ran()).To(gomega.Equal([]string{"before", "new"}))
		})
	}
}

// Shows what holds when a gate is paused between its check and its write while its holder dies: the successor sends the
// engine nothing until the gate has answered, an engine that checks refuses the late order, and one that does not runs
// it before all orders of the successor.
func TestPausedGateSuspendsTheEngine(t *testing.T) {
	inRegion(t, 3, func(g *gomega.WithT, w *world, engineID string) {
		first := w.current()
		g.Expect(w.order(first, engineID, "before")).To(gomega.Succeed())
		w.pauseAt("order", "old", 40*time.Second)
		go w.order(first, engineID, "old")
		time.Sleep(time.Second)
		first.kill()
		time.Sleep(15 * time.Second)
		second := w.current()
		for i := range 4 {
			err := w.order(second, engineID, fmt.Sprintf("early %d", i))
			g.Expect(errors.Is(err, ErrBusy)).To(gomega.BeTrue())
			time.Sleep(time.Second)
		}
		g.Expect(w.engines[engineID].ran()).To(gomega.Equal([]string{"before"}))
		time.Sleep(time.Minute)
		g.Expect(w.insist(second, engineID, "new")).To(gomega.Succeed())
		want := []string{"before", "old", "new"}
		if engineID == "checking" {
			want = []string{"before", "new"}
		}
		g.Expect(w.engines[engineID].ran()).To(gomega.Equal(want))
	})
}

// Guards against a successor that goes on, or another order that is sent, while a gate's call to the engine is slow.
func TestGateAnswersOnlyWithoutOrderInFlight(t *testing.T) {
	inRegion(t, 3, func(g *gomega.WithT, w *world, engineID string) {
		holder := w.current()
		g.Expect(w.order(holder, engineID, "before")).To(gomega.Succeed())
		entered := make(chan *Gate, 1)
		w.mu.Lock()
		w.onCall = func(kind string, p *proc, order string) {
			if kind == "order" && order == "slow" {
				entered <- p.gate
				time.Sleep(20 * time.Second)
			}
		}
		w.mu.Unlock()
		go w.order(holder, engineID, "slow")
		gate := <-entered
		code := func(err error) string { return errorResponse(err).GetError().GetCode() }
		g.Expect(code(gate.register(context.Background(), engineID, 1<<40))).To(gomega.Equal(codeBusy))
		_, err := gate.forward(context.Background(), &peerpb.ForwardOrder{Engine: engineID, OrderId: "other", Fence: 1 << 40})
		g.Expect(code(err)).To(gomega.Equal(codeBusy))
		time.Sleep(20 * time.Second)
		g.Expect(gate.register(context.Background(), engineID, 1<<40)).To(gomega.Succeed())
		_, err = gate.forward(context.Background(), &peerpb.ForwardOrder{Engine: engineID, OrderId: "late", Fence: 1<<40 - 1})
		g.Expect(code(err)).To(gomega.Equal(codeStaleFence))
	})
}

// Guards against a holder that is its own gate: alone it gives no orders, and with a second instance it does.
func TestHolderIsNeverTheGate(t *testing.T) {
	inRegion(t, 1, func(g *gomega.WithT, w *world, engineID string) {
		holder := w.current()
		g.Expect(errors.Is(w.order(holder, engineID, "alone"), ErrSuspended)).To(gomega.BeTrue())
		w.spawn()
		time.Sleep(6 * time.Second)
		g.Expect(w.order(holder, engineID, "second")).To(gomega.Succeed())
		g.Expect(w.engines[engineID].ran()).To(gomega.Equal([]string{"second"}))
	})
}

// Guards against a stop that leaves the region without a holder until the lease lapses, or an engine without a gate
// until the instance list drops the process.
func TestGracefulStopHandsOver(t *testing.T) {
	inRegion(t, 4, func(g *gomega.WithT, w *world, engineID string) {
		holder := w.current()
		g.Expect(w.order(holder, engineID, "before")).To(gomega.Succeed())
		entry, err := journal{w.store}.read(context.Background(), engineID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, p := range w.all() {
			if p.id == entry.Gate {
				g.Expect(p.stop()).To(gomega.Succeed())
			}
		}
		holder.cancel()
		time.Sleep(3 * time.Second)
		g.Expect(w.order(w.current(), engineID, "after")).To(gomega.Succeed())
	})
}

// Guards against loads of weights beyond the weight store's limit.
func TestLoadOrdersAreLimited(t *testing.T) {
	inRegion(t, 2, func(g *gomega.WithT, w *world, engineID string) {
		holder := w.current()
		holder.holder.opts.LoadLimiter = rate.NewLimiter(rate.Every(time.Hour), 1)
		load := func() error {
			w.started["load"] = time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			return holder.holder.Apply(ctx, engineID, engine.Order{ID: "load", Kind: engine.OrderLoadModel, Model: "m"})
		}
		g.Expect(load()).To(gomega.Succeed())
		g.Expect(errors.Is(load(), ErrSuspended)).To(gomega.BeTrue())
		g.Expect(w.order(holder, engineID, "role")).To(gomega.Succeed())
	})
}
