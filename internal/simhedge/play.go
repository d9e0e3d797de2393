// Package simhedge plays second attempts of slow requests in virtual time: a plain service whose replicas are slowed for
// some time again and again, and whose work is sometimes unusual, with the placement, the budget and the decision that
// serve. It shows how the decision does under this model and says nothing about a particular service.
package simhedge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/hedge"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/upstream"
)

const (
	playReplicas, playSlots, playInstances = 6, 6, 3
	playWork, playSigma                    = 0.060, 0.35 // mean in seconds, sigma of the lognormal distribution
	longShare, longTimes                   = 0.01, 5.0
	slowShare, slowTimes                   = 0.15, 2.5
	slowPeriod                             = 600 * time.Millisecond
	playWarmUp                             = 20 * time.Second
	playDeadline, playGood                 = 2 * time.Second, 400 * time.Millisecond
	// Window is the window of the retry budget and of the limit.
	Window = 10 * time.Second
)

// play is a service in virtual time: replicas with slots and a queue, and instances that place requests as in package
// entry.
type play struct {
	Options
	clock     simclock.Clock
	replicas  []*playReplica
	upstreams []*upstream.Replica
	instances []*playInstance
	result    Result
	times     []time.Duration
	good, won int
}

// playCapacity is the number of requests a second that fills all slots, with the unusual work and the slow periods.
func playCapacity() float64 {
	speed := 1 - slowShare + slowShare/slowTimes
	return playReplicas * playSlots * speed / (playWork * (1 + longShare*(longTimes-1)))
}

// Run plays Poisson arrivals. The same seed gives the same requests with the same work, whatever else differs.
func Run(o Options) Result {
	p := &play{Options: o}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	for i := range playReplicas {
		r := &playReplica{}
		for range int((o.Length+time.Minute)/slowPeriod) + 1 {
			r.slow = append(r.slow, random.Float64() < slowShare)
		}
		p.replicas = append(p.replicas, r)
		p.upstreams = append(p.upstreams, &upstream.Replica{ID: fmt.Sprint("r-", i), Service: "s", Zone: "z", Slots: playSlots})
	}
	for i := range playInstances {
		in := &playInstance{
			balancer: place.NewBalancer(place.Options{Zone: "z", Seed: uint64(i)}), service: hedge.NewService(o.Share, Window),
			budget: retry.NewWindowBudget(0.2, Window), health: retry.NewHealthWith(random.Float64),
		}
		for r := range in.factors {
			in.factors[r] = 1
		}
		p.instances = append(p.instances, in)
	}
	rate, id := o.Load*playCapacity(), uint64(2)
	var arrive func()
	arrive = func() {
		p.request(id)
		id++
		if p.clock.Now() < o.Length {
			p.clock.After(simclock.Seconds(random.ExpFloat64()/rate), arrive)
		}
	}
	arrive()
	p.clock.AdvanceTo(o.Length + 50*time.Second)
	slices.Sort(p.times)
	at := func(q float64) time.Duration { return p.times[int(q*float64(len(p.times)-1))] }
	n := float64(len(p.times))
	p.result.P50, p.result.P99, p.result.P999 = at(0.5), at(0.99), at(0.999)
	p.result.Good, p.result.Won = float64(p.good)/n, float64(p.won)/float64(len(p.result.Requests))
	p.result.Seconds = float64(len(p.result.SecondAttempts)) / float64(len(p.result.Requests))
	return p.result
}
