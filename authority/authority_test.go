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

// runInRegion runs a test in virtual time with instances that have elected a holder, once for each engine.
func runInRegion(t *testing.T, processes int, test func(g *gomega.WithT, c *cluster, engineID string)) {
	for _, engineID := range []string{"checking", "plain"} {
		t.Run(engineID, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(1, processes)
				time.Sleep(6 * time.Second)
				g := gomega.NewWithT(t)
				defer func() {
					c.stop()
					g.Expect(c.violations).To(gomega.BeEmpty())
				}()
				test(g, c, engineID)
			})
		})
	}
}

// pauseBeforeCall pauses the process that makes the first call of a kind for an order, just before the call is sent.
func (c *cluster) pauseBeforeCall(kind, order string, duration time.Duration) {
	var once sync.Once
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCall = func(call string, p *process, text string) {
		if call == kind && strings.Contains(text, order) {
			once.Do(func() { p.pause(duration) })
		}
	}
}

// applyOrderWhenFree gives an order and retries while Apply returns ErrBusy because an older one is being reconciled.
func (c *cluster) applyOrderWhenFree(p *process, engineID, id string) error {
	for range 20 {
		if err := c.applyOrder(p, engineID, id); !errors.Is(err, ErrBusy) {
			return err
		}
		time.Sleep(time.Second)
	}
	return ErrBusy
}

// Guards against a late order of an old holder that was paused for longer than its lease, between its check and its
// write to the journal or to the gate, while a successor gave orders.
func TestPausedHolderHasNoEffect(t *testing.T) {
	for _, kind := range []string{"journal", "forward"} {
		runInRegion(t, 3, func(g *gomega.WithT, c *cluster, engineID string) {
			first := c.currentHolder()
			g.Expect(c.applyOrder(first, engineID, "before")).To(gomega.Succeed())
			c.pauseBeforeCall(kind, "old", 40*time.Second)
			result := make(chan error, 1)
			go func() { result <- c.applyOrder(first, engineID, "old") }()
			time.Sleep(15 * time.Second)
			second := c.currentHolder()
			g.Expect(second).NotTo(gomega.BeIdenticalTo(first))
			g.Expect(c.applyOrderWhenFree(second, engineID, "new")).To(gomega.Succeed())
			g.Expect(first.isPaused()).To(gomega.BeTrue())
			g.Expect(<-result).To(gomega.HaveOccurred())
			time.Sleep(time.Minute)
			g.Expect(c.engines[engineID].ordersRun()).To(gomega.Equal([]string{"before", "new"}))
		})
	}
}

// Guards against orders of a successor while a gate is paused between its check and its write and the holder has died:
// the successor must send the engine nothing until the gate has answered. An engine that checks fencing tokens must
// refuse the late order, and one that does not must run it before all orders of the successor.
func TestPausedGateSuspendsTheEngine(t *testing.T) {
	runInRegion(t, 3, func(g *gomega.WithT, c *cluster, engineID string) {
		first := c.currentHolder()
		g.Expect(c.applyOrder(first, engineID, "before")).To(gomega.Succeed())
		c.pauseBeforeCall("order", "old", 40*time.Second)
		go c.applyOrder(first, engineID, "old")
		time.Sleep(time.Second)
		first.kill()
		time.Sleep(15 * time.Second)
		second := c.currentHolder()
		for i := range 4 {
			err := c.applyOrder(second, engineID, fmt.Sprintf("early %d", i))
			g.Expect(errors.Is(err, ErrBusy)).To(gomega.BeTrue())
			time.Sleep(time.Second)
		}
		g.Expect(c.engines[engineID].ordersRun()).To(gomega.Equal([]string{"before"}))
		time.Sleep(time.Minute)
		g.Expect(c.applyOrderWhenFree(second, engineID, "new")).To(gomega.Succeed())
		want := []string{"before", "old", "new"}
		if engineID == "checking" {
			want = []string{"before", "new"}
		}
		g.Expect(c.engines[engineID].ordersRun()).To(gomega.Equal(want))
	})
}

// Guards against a gate that registers a successor's fencing token, or sends another order, while its call to the
// engine is in flight.
func TestGateAnswersOnlyWithoutOrderInFlight(t *testing.T) {
	runInRegion(t, 3, func(g *gomega.WithT, c *cluster, engineID string) {
		holder := c.currentHolder()
		g.Expect(c.applyOrder(holder, engineID, "before")).To(gomega.Succeed())
		entered := make(chan *Gate, 1)
		c.mu.Lock()
		c.onCall = func(kind string, p *process, order string) {
			if kind == "order" && order == "slow" {
				entered <- p.gate
				time.Sleep(20 * time.Second)
			}
		}
		c.mu.Unlock()
		go c.applyOrder(holder, engineID, "slow")
		gate := <-entered
		code := func(err error) string { return errorResponse(err).GetError().GetCode() }
		g.Expect(code(gate.registerFence(context.Background(), engineID, 1<<40))).To(gomega.Equal(codeBusy))
		_, err := gate.forwardOrder(context.Background(),
			&peerpb.ForwardOrder{Engine: engineID, OrderId: "other", Fence: 1 << 40})
		g.Expect(code(err)).To(gomega.Equal(codeBusy))
		time.Sleep(20 * time.Second)
		g.Expect(gate.registerFence(context.Background(), engineID, 1<<40)).To(gomega.Succeed())
		_, err = gate.forwardOrder(context.Background(),
			&peerpb.ForwardOrder{Engine: engineID, OrderId: "late", Fence: 1<<40 - 1})
		g.Expect(code(err)).To(gomega.Equal(codeStaleFence))
	})
}

// Guards against a holder that is its own gate: alone in the region it must give no orders, with a second instance it
// must.
func TestHolderIsNeverTheGate(t *testing.T) {
	runInRegion(t, 1, func(g *gomega.WithT, c *cluster, engineID string) {
		holder := c.currentHolder()
		g.Expect(errors.Is(c.applyOrder(holder, engineID, "alone"), ErrSuspended)).To(gomega.BeTrue())
		c.spawn()
		time.Sleep(6 * time.Second)
		g.Expect(c.applyOrder(holder, engineID, "second")).To(gomega.Succeed())
		g.Expect(c.engines[engineID].ordersRun()).To(gomega.Equal([]string{"second"}))
	})
}

// Guards against a graceful stop that leaves the region without a holder until the lease expires, or an engine without
// a gate until the instance list drops the process.
func TestGracefulStopHandsOver(t *testing.T) {
	runInRegion(t, 4, func(g *gomega.WithT, c *cluster, engineID string) {
		holder := c.currentHolder()
		g.Expect(c.applyOrder(holder, engineID, "before")).To(gomega.Succeed())
		entry, err := journal{c.store}.read(context.Background(), engineID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, p := range c.allProcesses() {
			if p.id == entry.Gate {
				g.Expect(p.stop()).To(gomega.Succeed())
			}
		}
		holder.cancel()
		time.Sleep(3 * time.Second)
		g.Expect(c.applyOrder(c.currentHolder(), engineID, "after")).To(gomega.Succeed())
	})
}

// Guards against orders that load weights beyond the rate limit of the weight store.
func TestLoadOrdersAreRateLimited(t *testing.T) {
	runInRegion(t, 2, func(g *gomega.WithT, c *cluster, engineID string) {
		holder := c.currentHolder()
		holder.holder.opts.LoadLimiter = rate.NewLimiter(rate.Every(time.Hour), 1)
		load := func() error {
			c.startedOrders["load"] = time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			return holder.holder.Apply(ctx, engineID, engine.Order{ID: "load", Kind: engine.OrderLoadModel, Model: "m"})
		}
		g.Expect(load()).To(gomega.Succeed())
		g.Expect(errors.Is(load(), ErrSuspended)).To(gomega.BeTrue())
		g.Expect(c.applyOrder(holder, engineID, "role")).To(gomega.Succeed())
	})
}
