package simhedge

import (
	"time"

	"rhubarbpoint/hedge"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/upstream"
)

// playInstance is what one instance knows of the service.
type playInstance struct {
	balancer *place.Balancer
	service  *hedge.Service
	budget   *retry.WindowBudget
	health   *retry.Health
	factors  [playReplicas]float64
}

// healthy leaves out replicas that the instance takes for failing ones.
func (in *playInstance) healthy(now time.Time, replicas []*upstream.Replica) []*upstream.Replica {
	return retry.Healthy(in.health, now, replicas, func(r *upstream.Replica) string { return r.ID }, upstream.StageOf)
}
