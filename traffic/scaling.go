package traffic

import "time"

// Scaling describes how many replicas of a service may be ordered, and their prices.
type Scaling struct {
	// Min and Max bound the number of replicas in each availability zone, on-demand and preemptible ones together.
	Min, Max int
	// BootTime is the time from an order until a new replica serves.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible replica as a share of the price of an on-demand one.
	PreemptiblePrice float64
	// ZonePrices is the price of an on-demand replica by zone. A zone that is not listed has the price 1.
	ZonePrices map[string]float64
}

// Price returns the price of an on-demand replica in a zone.
func (s *Scaling) Price(zone string) float64 {
	if price, listed := s.ZonePrices[zone]; listed {
		return price
	}
	return 1
}
