package simfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbpoint/place"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Policy is a way to decide. The zero Policy with a name is the product's; the other fields take something away from it or
// change what it is told, which shows what that is worth.
type Policy struct {
	Name string
	// choose replaces the placement.
	choose chooser
	// HideSegments hides which parts prompts have in common.
	HideSegments bool
	// HideLoad drops the load that replicas state.
	HideLoad bool
	// HidePrefillTimes drops the times that own requests took.
	HidePrefillTimes bool
	// NoTarget refuses only what would miss its deadline.
	NoTarget bool
	// TargetFactor multiplies the target latency by which requests are refused; zero means 1.
	TargetFactor float64
	// FixedStages gives no orders to change stages.
	FixedStages bool
	// DecodeReplicas is the number of replicas of each zone that are in stage decode from the start; zero means as the deployment has
	// it.
	DecodeReplicas int
	// RetryAfterFactor multiplies the time after which refused callers come back; zero means 1.
	RetryAfterFactor float64
}

// chooser is a placement for comparison.
type chooser func(i *instance, replicas []*upstream.Replica) (place.Placement, error)

// Product is the product's own policy.
const Product = "product"

// Policies returns the product, what it is without one part each, and two simple ones for comparison.
func Policies() []Policy {
	return []Policy{
		{Name: "random", choose: chooseRandom, FixedStages: true},
		{Name: "least in flight", choose: chooseLeastInFlight, FixedStages: true},
		{Name: "parts hidden", HideSegments: true},
		{Name: "load hidden", HideLoad: true},
		{Name: "waits hidden", HidePrefillTimes: true},
		{Name: "no target", NoTarget: true},
		{Name: "target x 0.5", TargetFactor: 0.5},
		{Name: "target x 2", TargetFactor: 2},
		{Name: "stages kept", FixedStages: true},
		{Name: "pause x 4", RetryAfterFactor: 4},
		{Name: Product},
	}
}

// FixedAssignments returns the product with each division of the stages that is the same in all zones and never changes.
func FixedAssignments(d *Deployment) []Policy {
	var list []Policy
	for _, s := range d.Services {
		for n := 1; s.Engine != nil && n < s.Replicas; n++ {
			list = append(list, Policy{Name: fmt.Sprintf("%d of %d decode", n, s.Replicas), FixedStages: true, DecodeReplicas: n})
		}
	}
	return list
}

// target returns the target latency that the placement is told.
func (p *Policy) target(k *Kind) time.Duration {
	switch {
	case p.NoTarget:
		return 0
	case p.TargetFactor > 0:
		return millis(k.Target * p.TargetFactor)
	}
	return millis(k.Target)
}

func (p *Policy) pause(d time.Duration) time.Duration {
	if p.RetryAfterFactor > 0 {
		return time.Duration(float64(d) * p.RetryAfterFactor)
	}
	return d
}

// answering returns the replicas that answer requests.
func answering(replicas []*upstream.Replica) []*upstream.Replica {
	var list []*upstream.Replica
	for _, r := range replicas {
		if r.Stage != upstream.Prefill {
			list = append(list, r)
		}
	}
	return list
}

func chooseRandom(i *instance, replicas []*upstream.Replica) (place.Placement, error) {
	list := answering(replicas)
	if len(list) == 0 {
		return place.Placement{}, place.ErrNoReplica
	}
	return place.Placement{Replica: list[i.random.IntN(len(list))]}, nil
}

func chooseLeastInFlight(i *instance, replicas []*upstream.Replica) (place.Placement, error) {
	list := answering(replicas)
	if len(list) == 0 {
		return place.Placement{}, place.ErrNoReplica
	}
	rand.New(i.source).Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	best := list[0]
	for _, r := range list {
		if i.inFlight[r.ID] < i.inFlight[best.ID] {
			best = r
		}
	}
	return place.Placement{Replica: best}, nil
}

// services turns the services of a deployment into the product's.
func services(d *Deployment) map[string]*traffic.Service {
	list := make(map[string]*traffic.Service)
	for _, s := range d.Services {
		service := &traffic.Service{Name: s.Name}
		if s.Engine != nil {
			service.Engine = &traffic.Engine{Slots: s.Slots, KVTokens: s.Engine.KVTokens}
		}
		list[s.Name] = service
	}
	return list
}
