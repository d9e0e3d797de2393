package duty_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/duty"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// Guards against two holders at a time, or a second one that counts as the first, after the store has lost lease and history.
func TestHolderAfterARestoreWaitsForTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx := t.Context()
		store := memtopo.New(nil)
		older := store.Copy()
		former, next := duty.NewLeaseHolder(store, "a"), duty.NewLeaseHolder(store, "b")
		g.Expect(former.Campaign(ctx)).To(gomega.Succeed())
		time.Sleep(3 * time.Second)
		g.Expect(former.Renew(ctx)).To(gomega.BeTrue())
		fence := former.Fence()
		store.Restore(older)
		g.Expect(next.Campaign(ctx)).To(gomega.Succeed())
		g.Expect(next.Fence()).To(gomega.BeNumerically(">", fence))
		lastCall := time.Now()
		for !next.MayOrder(time.Now()) {
			if former.MayOrder(time.Now()) {
				lastCall = time.Now()
			}
			time.Sleep(100 * time.Millisecond)
			if former.Fence() != 0 {
				former.Renew(ctx)
			}
			g.Expect(next.Renew(ctx)).To(gomega.BeTrue())
		}
		g.Expect(former.MayOrder(time.Now())).To(gomega.BeFalse())
		g.Expect(time.Since(lastCall)).To(gomega.BeNumerically(">=", minHolderInterval))
	})
}

// Guards against a holder whose key the store has lost, and against one that gives up although it has not.
func TestHolderAsksForItsKeyAfterARestore(t *testing.T) {
	for _, kept := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx := t.Context()
			var between memtopo.Copy
			var store *memtopo.Store
			writes := 0
			store = memtopo.New(memtopo.FaultFunc(func(op topo.Op, _ string) memtopo.Fault {
				if op == topo.OpPut {
					if writes++; writes == 1 {
						between = store.Copy() // has the lease, not the key
					}
				}
				return memtopo.Fault{}
			}))
			holder := duty.NewLeaseHolder(store, "a")
			g.Expect(holder.Campaign(ctx)).To(gomega.Succeed())
			if kept {
				between = store.Copy()
			}
			fence := holder.Fence()
			time.Sleep(time.Second)
			store.Restore(between)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if held := holder.Renew(ctx); !held {
					break
				}
			}
			if kept {
				g.Expect(holder.Fence()).To(gomega.Equal(fence))
				g.Expect(holder.MayOrder(time.Now())).To(gomega.BeTrue())
			} else {
				g.Expect(holder.Fence()).To(gomega.BeZero())
			}
		})
	}
}
