package daemon

import (
	"rhubarbpoint/entry"
	"rhubarbpoint/hedge"
	"rhubarbpoint/place"
	"rhubarbpoint/settings"
)

// newHedging returns the configuration of second attempts, or nil if the operator allows none.
func newHedging(s *settings.Settings, balancer *place.Balancer) *entry.Hedging {
	if s.ExtraWorkShare <= 0 {
		return nil
	}
	return &entry.Hedging{Services: hedge.NewServices(s.ExtraWorkShare, s.RetryWindow.D()), Factor: balancer.WorkFactor}
}
