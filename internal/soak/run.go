package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// concurrentFaults is the number of schedules of faults that run at the same time. streamSchedule and cutSchedule draw from
	// streamFaults and cutFaults; revokeSchedule is no schedule, but has random numbers of its own.
	concurrentFaults = 4
	streamSchedule   = concurrentFaults
	revokeSchedule   = concurrentFaults + 1
	cutSchedule      = concurrentFaults + 2
	// shortestFault and longestFault bound the duration of a fault.
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	// holderOutageTime is longer than an instance keeps the stage authority without the store.
	holderOutageTime = 7 * time.Second
	// faultPause is the time between two faults of a schedule.
	faultPause = 200 * time.Millisecond
	// recoveryTime is the time after the last fault within which every instance must serve with the newest routes.
	recoveryTime = 12 * time.Second
	// minServedAfterRecovery is the number of requests that an instance must exceed to count as serving again.
	minServedAfterRecovery = 20
)

// Options configure a soak.
type Options struct {
	// Bin is the folder of the programs rhubarbpoint and standin, Dir that for settings and logs.
	Bin, Dir string
	// Instance is the path of the entry instances' program, built by package cuthook.
	Instance string
	// Seed determines the schedules of faults.
	Seed uint64
	// Length is the time within which faults start.
	Length time.Duration
	// RestartInPlace also starts replicas again under their IDs and addresses at another version.
	RestartInPlace bool
	// OnlyCuts leaves out all faults but those that cut instances off from all replicas.
	OnlyCuts bool
}

// Result is the result of a soak.
type Result struct {
	Counts Counts
	// Violations describe what must not have happened. The soak has passed if there are none.
	Violations []string
}

// Run injects the faults of a seed and checks what callers and replicas observe. It stops all that it has started.
func Run(ctx context.Context, opts Options) (*Result, error) {
	c, err := startCluster(ctx, opts)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return nil, err
	}
	watching := make(chan struct{})
	var watchers sync.WaitGroup
	for _, i := range c.instances {
		c.startCallers(i)
		watchers.Go(func() { i.watchRoutes(watching) })
	}
	c.callers.Go(func() { c.sendCrashing(c.stop) })
	for _, i := range c.instances {
		for n := range revokedCallers {
			c.callers.Go(func() { c.sendRevoked(i, n, c.stop) })
		}
	}
	c.callers.Go(func() { c.expireEntries(c.stop) })
	c.runFaults(opts)
	random := rand.New(rand.NewPCG(opts.Seed, revokeSchedule))
	if disturbed := c.randomInstance(random); !opts.OnlyCuts {
		c.revokeDuringPause(disturbed)
	}
	// Other faults may have excluded the checks of all cuts before.
	c.cutOff(cutForms[random.IntN(len(cutForms))], longestCut)
	deadline := time.Now().Add(recoveryTime)
	var recovering sync.WaitGroup
	for _, i := range c.instances {
		recovering.Go(func() { i.waitRecovered(deadline) })
	}
	recovering.Wait()
	c.checkCrashingSegment()
	close(c.stop)
	c.callers.Wait()
	c.replacing.Wait()
	close(watching)
	watchers.Wait()
	c.checkCuts()
	c.recorder.checkHolders(func(name string, at time.Time) bool {
		for _, i := range c.instances {
			if i.node.ID == name {
				return i.recentlyPaused(at)
			}
		}
		return false
	})
	c.checkLogs(opts.Dir)
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	return &Result{c.recorder.counts, c.recorder.violations}, nil
}

// runFaults runs the schedules of a seed concurrently until opts.Length has passed and the last fault has ended.
func (c *cluster) runFaults(opts Options) {
	end := time.Now().Add(opts.Length)
	var running sync.WaitGroup
	stream := streamFaults
	if opts.RestartInPlace {
		stream = append(slices.Clone(stream), restartInPlace)
	}
	for n, faults := range map[uint64][]scheduledFault{
		0: scheduledFaults, 1: scheduledFaults, 2: scheduledFaults, 3: scheduledFaults, streamSchedule: stream, cutSchedule: cutFaults,
	} {
		if opts.OnlyCuts && n != cutSchedule {
			continue
		}
		random := rand.New(rand.NewPCG(opts.Seed, n))
		running.Go(func() {
			for time.Now().Before(end) {
				f := faults[random.IntN(len(faults))]
				length := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
				c.recorder.mu.Lock()
				c.recorder.counts.Faults[f.name]++
				c.recorder.mu.Unlock()
				c.timeline.Info("fault begins", "schedule", n, "fault", f.name, "length", length.String())
				f.run(c, random, length)
				c.timeline.Info("fault ends", "schedule", n, "fault", f.name)
				time.Sleep(faultPause)
			}
		})
	}
	running.Wait()
}
