package simfleet

import (
	"math/rand/v2"
	"time"

	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/upstream"
)

// The retry budget of each service: a share of the requests in a window.
const (
	budgetShare  = 0.2
	budgetWindow = 10 * time.Second
)

// instance is one entry instance.
type instance struct {
	sim     *Sim
	zone    int
	board   *place.Balancer
	health  *retry.Health
	budgets *retry.ServiceBudgets
	source  *rand.PCG
	random  *rand.Rand
	// known are the replicas of each service as discovery describes them.
	known map[string][]*upstream.Replica
	// inFlight counts the sends to each replica.
	inFlight map[string]int
}

func newInstance(s *Sim, zone, number int, seed uint64) *instance {
	source := rand.NewPCG(seed, uint64(number))
	i := &instance{
		sim: s, zone: zone, budgets: retry.NewServiceBudgets(budgetShare, budgetWindow), source: source, random: rand.New(source),
		board: place.NewBalancer(place.Options{
			Region: s.d.Zones[zone].Region, Zone: s.d.Zones[zone].Name, Seed: seed + uint64(number),
		}),
		known: make(map[string][]*upstream.Replica), inFlight: make(map[string]int),
	}
	i.health = retry.NewHealthWith(i.random.Float64)
	return i
}

// handle begins a try of a request.
func (i *instance) handle(r *request) {
	x := &exchange{instance: i, request: r}
	x.begin()
}

// healthy leaves out the replicas that fail.
func (i *instance) healthy(replicas []*upstream.Replica) []*upstream.Replica {
	return retry.Healthy(i.health, i.sim.Time(), replicas, upstream.Key)
}
