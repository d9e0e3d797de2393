package daemon

import (
	"context"
	"time"

	"rhubarbpoint/admit"
	"rhubarbpoint/member"
	"rhubarbpoint/route"
)

const capacityInterval = time.Second

// capacityUpdater keeps the admitter informed of this instance's share of the engines of its region.
type capacityUpdater struct {
	table    *route.EngineTable
	view     member.View
	region   string
	admitter *admit.FairAdmitter
}

func (c *capacityUpdater) run(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.admitter.SetCapacity(now, c.share(now))
		}
	}
}

func (c *capacityUpdater) share(now time.Time) float64 {
	return float64(c.table.Available(now)) / c.instances()
}

// instances returns how many instances share the region's engines, this one included.
func (c *capacityUpdater) instances() float64 {
	count := 0
	for _, m := range c.view.Live() {
		if m.GetRegion() == c.region {
			count++
		}
	}
	return float64(max(count, 1))
}
