package simfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbpoint/place"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Policy is a variant of the product's decisions. A Policy with only a name is the product itself. Each other field
// disables one part of the product or changes one of its inputs, to show by comparison what that part contributes.
type Policy struct {
	Name string
	// choose replaces the placement.
	choose chooser
	// HideSegments hides the shared segments of prompts from the placement.
	HideSegments bool
	// HideLoad drops the load reports in the responses of replicas.
	HideLoad bool
	// HideSlowdown drops the fourth figure from load reports.
	HideSlowdown bool
	// HidePrefillTimes drops the prefill times that the instance has measured on its own requests.
	HidePrefillTimes bool
	// NoTarget refuses only requests that would miss their deadline.
	NoTarget bool
	// TargetFactor multiplies the target latency that decides which requests are refused; zero means 1.
	TargetFactor float64
	// FixedStages disables orders to change stages.
	FixedStages bool
	// DecodeReplicas is the number of replicas in each zone that start in stage decode; zero means that the deployment's
	// share applies.
	DecodeReplicas int
	// RetryAfterFactor multiplies the Retry-After of refused callers; zero means 1.
	RetryAfterFactor float64
}

// chooser is a placement algorithm that replaces the product's.
type chooser func(i *instance, replicas []*upstream.Replica) (place.Placement, error)

// Product is the product's own policy.
const Product = "product"

// Policies returns the product, variants of it that each differ in one part, and two simple policies for comparison.
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

// FixedAssignments returns the product with each stage assignment that is the same in all zones and never changes.
func FixedAssignments(d *Deployment) []Policy {
	var list []Policy
	for _, s := range d.Services {
		for n := 1; s.Engine != nil && n < s.Replicas; n++ {
			list = append(list, Policy{Name: fmt.Sprintf("%d of %d decode", n, s.Replicas), FixedStages: true, DecodeReplicas: n})
		}
	}
	return list
}

// target returns the target latency that is passed to the placement.
func (p *Policy) target(k *Kind) time.Duration {
	switch {
	case p.NoTarget:
		return 0
	case p.TargetFactor > 0:
		return millis(k.Target * p.TargetFactor)
	}
	return millis(k.Target)
}

// retryAfter returns the time after which a refused caller retries.
func (p *Policy) retryAfter(d time.Duration) time.Duration {
	if p.RetryAfterFactor > 0 {
		return time.Duration(float64(d) * p.RetryAfterFactor)
	}
	return d
}

// decodeReplicas returns the replicas that are not in stage prefill.
func decodeReplicas(replicas []*upstream.Replica) []*upstream.Replica {
	var list []*upstream.Replica
	for _, r := range replicas {
		if r.Stage != upstream.Prefill {
			list = append(list, r)
		}
	}
	return list
}

func chooseRandom(i *instance, replicas []*upstream.Replica) (place.Placement, error) {
	list := decodeReplicas(replicas)
	if len(list) == 0 {
		return place.Placement{}, place.ErrNoReplica
	}
	return place.Placement{Replica: list[i.random.IntN(len(list))]}, nil
}

func chooseLeastInFlight(i *instance, replicas []*upstream.Replica) (place.Placement, error) {
	list := decodeReplicas(replicas)
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

// trafficServices converts the services of a deployment to the product's type, by name.
func trafficServices(d *Deployment) map[string]*traffic.Service {
	byName := make(map[string]*traffic.Service)
	for _, s := range d.Services {
		service := &traffic.Service{Name: s.Name}
		if s.Engine != nil {
			service.Engine = &traffic.Engine{Slots: s.Slots, KVTokens: s.Engine.KVTokens}
		}
		byName[s.Name] = service
	}
	return byName
}
