package bench

import (
	"fmt"
	"time"

	"rhubarbpoint/config"
)

// The size of one user's deployment today.
const (
	Regions          = 3
	EntriesPerRegion = 3
	EnginesPerRegion = 3
)

const (
	crossRegionLatency  = 20 * time.Millisecond
	sameRegionLatency   = time.Millisecond
	callerLatency       = 3 * time.Millisecond
	modelVersion        = "1"
	targetFirstToken    = 1100 * time.Millisecond
	targetBetweenTokens = 55 * time.Millisecond
	linkBytesPerSecond  = 125_000_000
	kvBytesPerToken     = 100_000
	bytesPerPromptToken = 4 // bytes of text for each prompt token that crosses a link
)

// RegionName returns the name of a region in traces, r1 for region 0.
func RegionName(region int) string { return fmt.Sprintf("r%d", region+1) }

// isRegionName reports whether a name is one of the benchmark's regions.
func isRegionName(name string) bool {
	for i := range Regions {
		if RegionName(i) == name {
			return true
		}
	}
	return false
}

func engineName(index int) string {
	return fmt.Sprintf("%s-e%d", RegionName(index/EnginesPerRegion), index%EnginesPerRegion+1)
}

// document returns the configuration document for the decision code.
func document() *config.Document {
	doc := &config.Document{Version: 1}
	for region := range Regions {
		name := RegionName(region)
		doc.Network.Regions = append(doc.Network.Regions, config.Region{Name: name, Zones: []string{name}})
		for other := range region {
			doc.Network.Links = append(doc.Network.Links, config.Link{
				From: name, To: RegionName(other), Latency: config.Duration(crossRegionLatency), BytesPerSecond: linkBytesPerSecond, CostPerGB: 1,
			})
		}
		for i := range EnginesPerRegion {
			id := engineName(region*EnginesPerRegion + i)
			doc.Models.Engines = append(doc.Models.Engines, config.Engine{ID: id, Address: id, Region: name, Zone: name})
		}
	}
	doc.Models.Models = []config.Model{{
		Name: modelName, Version: modelVersion, PrefillTokensPerSecond: prefillRate, KVBytesPerToken: kvBytesPerToken,
	}}
	doc.Models.Roles = config.Roles{Automatic: true, ChangeTime: config.Duration(roleChangeTime)}
	doc.Models.Targets = config.Targets{
		FirstToken: config.Duration(targetFirstToken), BetweenTokens: config.Duration(targetBetweenTokens),
	}
	return doc
}
