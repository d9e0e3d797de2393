package fleet

import (
	"time"

	"rhubarbpoint/config"
)

// The model and the service in the fleet's configuration document.
const (
	ModelName    = "assistant"
	ModelVersion = "2026-11"
	ServiceName  = "orders"
)

// RegionName returns the name of the region with an index that counts from 0.
func RegionName(index int) string { return "region-" + string(rune('a'+index)) }

// ZoneName returns the name of a region's only availability zone.
func ZoneName(region string) string { return region + "-1" }

// Document returns the initial configuration document of the fleet.
func (f *Fleet) Document() *config.Document {
	doc := &config.Document{
		Orders: config.Orders{Services: []config.Service{{
			Name: ServiceName,
			Routes: []config.Route{
				{Method: "GET", Path: "/stock/", Idempotent: true},
				{Method: "POST", Path: "/bookings"},
			},
			Timeout: config.Duration(5 * time.Second),
		}}},
		Models: config.Models{
			Models: []config.Model{{Name: ModelName, Version: ModelVersion}},
			Roles:  config.Roles{Automatic: f.opts.AutomaticRoles, RoleChangeCost: 10, ChangeTime: config.Duration(2 * time.Second)},
		},
		Callers: config.Callers{AllowUnknown: true},
	}
	for r := range f.opts.Regions {
		region := RegionName(r)
		doc.Network.Regions = append(doc.Network.Regions, config.Region{Name: region, Zones: []string{ZoneName(region)}})
	}
	for _, n := range f.Engines {
		doc.Models.Engines = append(doc.Models.Engines, config.Engine{
			ID: n.ID, Address: n.Address, Region: n.Region, Zone: ZoneName(n.Region),
		})
	}
	for _, n := range f.Services {
		doc.Orders.Services[0].Upstreams = append(doc.Orders.Services[0].Upstreams, config.Upstream{
			ID: n.ID, Address: n.Address, Region: n.Region, Zone: ZoneName(n.Region),
		})
	}
	return doc
}
