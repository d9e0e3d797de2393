package bench

import (
	"fmt"
	"time"

	"rhubarbpoint/config"
)

// Today's size for one user.
const (
	Regions          = 3
	EntriesPerRegion = 3
	EnginesPerRegion = 3
)

const (
	regionLatency  = 20 * time.Millisecond
	localLatency   = time.Millisecond
	callerLatency  = 3 * time.Millisecond
	modelVersion   = "1"
	targetFirst    = 1100 * time.Millisecond
	targetBetween  = 55 * time.Millisecond
	linkBytes      = 125_000_000
	kvBytes        = 100_000
	bytesPerPrompt = 4 // bytes of text for each prompt token that crosses a link
)

// RegionName returns the name of a region in traces.
func RegionName(region int) string { return fmt.Sprintf("r%d", region+1) }

func knownRegion(name string) bool {
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

// document is the configuration that the decision code sees.
func document() *config.Document {
	doc := &config.Document{Version: 1}
	for region := range Regions {
		name := RegionName(region)
		doc.Network.Regions = append(doc.Network.Regions, config.Region{Name: name, Zones: []string{name}})
		for other := range region {
			doc.Network.Links = append(doc.Network.Links, config.Link{
				From: name, To: RegionName(other), Latency: config.Duration(regionLatency), BytesPerSecond: linkBytes, CostPerGB: 1,
			})
		}
		for i := range EnginesPerRegion {
			id := engineName(region*EnginesPerRegion + i)
			doc.Models.Engines = append(doc.Models.Engines, config.Engine{ID: id, Address: id, Region: name, Zone: name})
		}
	}
	doc.Models.Models = []config.Model{{
		Name: modelName, Version: modelVersion, PrefillTokensPerSecond: prefillRate, KVBytesPerToken: kvBytes,
	}}
	doc.Models.Roles = config.Roles{Automatic: true, ChangeTime: config.Duration(changeTime)}
	doc.Models.Targets = config.Targets{
		FirstToken: config.Duration(targetFirst), BetweenTokens: config.Duration(targetBetween),
	}
	return doc
}
