package scale

import (
	"rhubarbpoint/activity"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Input is what Plan depends on.
type Input struct {
	// Service has Scaling.
	Service *traffic.Service
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Replicas are the listed replicas of the service, draining ones included.
	Replicas []upstream.Replica
	// Demand is the demand for the service by the zone of the instances that saw it, nil if unknown.
	Demand map[string]activity.Rates
	// Ordered is what was ordered last. Subjects for which nothing was ordered are absent.
	Ordered map[Subject]int
	// Memory is that of the previous decision, the zero value before the first one.
	Memory Memory
}
