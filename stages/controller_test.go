package stages_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/stages"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// betweenHolders is the least time between the orders of two holders, which the users' platform sets.
const betweenHolders = 3 * time.Second

// faults makes the store fail at random.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	away   bool
}

func (f *faults) Next(op topo.Op, _ string) memtopo.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case op == topo.OpNone:
		return memtopo.Fault{}
	case f.away:
		return memtopo.Fault{Refuse: true}
	case f.random.Float64() < 0.1:
		return memtopo.Fault{LoseResponse: true, LateBy: time.Duration(f.random.Int64N(int64(5 * time.Second)))}
	}
	return memtopo.Fault{Delay: time.Duration(f.random.Int64N(int64(50 * time.Millisecond)))}
}

// given is one order that reached a replica.
type given struct {
	at     time.Time
	holder string
	fence  int64
	to     string
}

// engines carries out orders, or loses the answer, or carries them out late.
type engines struct {
	mu        sync.Mutex
	random    *rand.Rand
	registry  *upstream.Registry
	sequences map[string]int64
	orders    []given
}

func (e *engines) Sequence(_ context.Context, r *upstream.Replica) (int64, upstream.Stage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[r.ID], r.Stage, nil
}

func (e *engines) SetStage(_ context.Context, r *upstream.Replica, stage upstream.Stage, by stages.Issuer, sequence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, given{time.Now(), by.Holder, by.Fence, r.ID})
	accept := func() {
		if e.sequences[r.ID] != sequence {
			return
		}
		e.sequences[r.ID]++
		changed := *r
		changed.Stage = stage
		time.AfterFunc(3*time.Second, func() { e.registry.Put(changed) })
	}
	if e.random.Float64() < 0.3 {
		time.AfterFunc(time.Duration(e.random.Int64N(int64(12*time.Second))), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			accept()
		})
		return errors.New("no answer")
	}
	accept()
	return nil
}

// Plays instances that stop and start and a store that loses answers, goes away and ends leases, while replicas come back
// in their first stage. Guards against two holders that give orders in turns or with the same or a lower number, and
// against replicas that are never changed.
func TestHoldersNeverTakeTurns(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			storeFaults := &faults{random: rand.New(rand.NewPCG(seed, 2))}
			store := memtopo.New(storeFaults)
			registry := upstream.NewRegistry()
			list := &engines{random: rand.New(rand.NewPCG(seed, 3)), registry: registry, sequences: make(map[string]int64)}
			reset := func() {
				for _, r := range replicas(map[string]string{"a": "pdd", "b": "pdd", "c": "pdd"}) {
					registry.Put(*r)
				}
			}
			reset()
			table := &traffic.Table{Version: 1, Services: map[string]traffic.Service{"model": *service(128)}}
			var running sync.WaitGroup
			stops := make([]context.CancelFunc, 4)
			start := func(i int) {
				var ctx context.Context
				ctx, stops[i] = context.WithCancel(context.Background())
				c := stages.NewController(stages.Options{
					Store: store, Client: list, Name: string(rune('A' + i)), Replicas: registry, Table: func() *traffic.Table { return table },
				})
				running.Go(func() { c.Run(ctx) })
			}
			for i := range stops {
				start(i)
			}
			for range 12 {
				time.Sleep(time.Duration(5+random.IntN(15)) * time.Second)
				switch random.IntN(3) {
				case 0:
					i := random.IntN(len(stops))
					stops[i]()
					start(i)
				case 1:
					storeFaults.mu.Lock()
					storeFaults.away = !storeFaults.away
					storeFaults.mu.Unlock()
				case 2:
					reset()
				}
			}
			storeFaults.mu.Lock()
			storeFaults.away = false
			storeFaults.mu.Unlock()
			time.Sleep(2 * time.Minute)
			g.Expect(stages.Plan(service(128), registry.Available("model"))).To(gomega.BeEmpty(), "seed %d", seed)
			for _, stop := range stops {
				stop()
			}
			running.Wait()
			for i := 1; i < len(list.orders); i++ {
				before, after := list.orders[i-1], list.orders[i]
				if before.fence == after.fence && before.holder == after.holder {
					continue
				}
				g.Expect(after.fence).To(gomega.BeNumerically(">", before.fence), "seed %d", seed)
				g.Expect(after.at.Sub(before.at)).To(gomega.BeNumerically(">=", betweenHolders), "seed %d", seed)
			}
			g.Expect(list.orders).NotTo(gomega.BeEmpty())
		})
	}
}
