package daemon

import (
	"context"
	"time"

	"rhubarbpoint/admit"
	"rhubarbpoint/member"
	"rhubarbpoint/route"
)

const capacityInterval = time.Second

// capacity tells admission which part of the region's engines this instance may load.
type capacity struct {
	table  *route.EngineTable
	view   member.View
	region string
	fair   *admit.FairAdmitter
}

func (c *capacity) run(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.fair.SetCapacity(now, c.share(now))
		}
	}
}

func (c *capacity) share(now time.Time) float64 {
	return float64(c.table.Available(now)) / c.instances()
}

// instances returns how many instances share the region's engines, this one included.
func (c *capacity) instances() float64 {
	count := 0
	for _, m := range c.view.Live() {
		if m.GetRegion() == c.region {
			count++
		}
	}
	return float64(max(count, 1))
}
