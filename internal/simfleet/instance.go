package simfleet

import (
	"math/rand/v2"
	"time"

	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/upstream"
)

// The retry budget of each service is a share of its requests within a window.
const (
	budgetShare  = 0.2
	budgetWindow = 10 * time.Second
)

// instance is one entry instance.
type instance struct {
	sim      *Sim
	zone     int
	balancer *place.Balancer
	health   *retry.Health
	budgets  *retry.ServiceBudgets
	source   *rand.PCG
	random   *rand.Rand
	// replicas are the replicas of each service that discovery has listed.
	replicas map[string][]*upstream.Replica
	// inFlight counts the instance's in-flight requests at each replica.
	inFlight map[string]int
}

func newInstance(s *Sim, zone, number int, seed uint64) *instance {
	source := rand.NewPCG(seed, uint64(number))
	i := &instance{
		sim: s, zone: zone, budgets: retry.NewServiceBudgets(budgetShare, budgetWindow), source: source, random: rand.New(source),
		balancer: place.NewBalancer(place.Options{
			Region: s.d.Zones[zone].Region, Zone: s.d.Zones[zone].Name, Seed: seed + uint64(number),
		}),
		replicas: make(map[string][]*upstream.Replica), inFlight: make(map[string]int),
	}
	i.health = retry.NewHealthWith(i.random.Float64)
	return i
}

// handle starts an exchange for a request that a caller has sent.
func (i *instance) handle(r *request) {
	x := &exchange{instance: i, request: r}
	x.begin()
}

// healthy returns the replicas that are not ejected as unhealthy.
func (i *instance) healthy(replicas []*upstream.Replica) []*upstream.Replica {
	return retry.Healthy(i.health, i.sim.Time(), replicas, upstream.Key, upstream.StageOf)
}
