package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// series is the number of faults that are at work at a time.
	series = 4
	// longestFault and shortestFault bound the length of a fault.
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	// authorityTime is longer than an instance keeps the authority over stages without the store.
	authorityTime = 7 * time.Second
	// quietTime passes between two faults of a series.
	quietTime = 200 * time.Millisecond
	// recoveryTime is how long after the last fault every instance must serve, with the newest routes.
	recoveryTime = 12 * time.Second
	// recoveredServed is the number of requests that show that an instance serves.
	recoveredServed = 20
)

// Options say what to play.
type Options struct {
	// Bin is the folder of the programs rhubarbpoint and standin, Dir takes settings and logs.
	Bin, Dir string
	Seed     uint64
	// Length is the time in which faults begin.
	Length time.Duration
}

// Result is the outcome of a soak.
type Result struct {
	Counts Counts
	// Violations are what must not have happened; none means that the soak has passed.
	Violations []string
}

// Run plays the faults of a seed and checks what callers and replicas have seen. It ends all that it has started.
func Run(ctx context.Context, opts Options) (*Result, error) {
	s, err := openSite(ctx, opts.Bin, opts.Dir)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	watching := make(chan struct{})
	var watchers sync.WaitGroup
	for _, i := range s.instances {
		s.startCallers(i)
		watchers.Go(func() { i.watch(watching) })
	}
	s.play(opts)
	deadline := time.Now().Add(recoveryTime)
	var recovering sync.WaitGroup
	for _, i := range s.instances {
		recovering.Go(func() { i.waitCaughtUp(deadline) })
	}
	recovering.Wait()
	close(s.stop)
	s.load.Wait()
	close(watching)
	watchers.Wait()
	s.ledger.checkHolders(func(name string, at time.Time) bool {
		for _, i := range s.instances {
			if i.node.ID == name {
				return i.thawed(at)
			}
		}
		return false
	})
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return &Result{s.ledger.total, s.ledger.wrong}, nil
}

// play runs the series of faults of a seed side by side until no fault may begin any more.
func (s *site) play(opts Options) {
	end := time.Now().Add(opts.Length)
	var running sync.WaitGroup
	for n := range uint64(series) {
		random := rand.New(rand.NewPCG(opts.Seed, n))
		running.Go(func() {
			for time.Now().Before(end) {
				f := faults[random.IntN(len(faults))]
				length := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
				s.ledger.mu.Lock()
				s.ledger.total.Faults[f.name]++
				s.ledger.mu.Unlock()
				f.play(s, random, length)
				time.Sleep(quietTime)
			}
		})
	}
	running.Wait()
}
