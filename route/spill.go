package route

import (
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/peer/peerpb"
)

// link returns the link to a region, with defaults for what is not configured.
func (t *EngineTable) link(to string) config.Link {
	l := t.links[[2]string{t.opts.Region, to}]
	if l.Latency == 0 {
		l.Latency = config.Duration(defaultLinkLatency)
	}
	if l.CostPerGB == 0 {
		l.CostPerGB = defaultCostPerGB
	}
	return l
}

// withRemote returns the options in other regions that meet the target for the first token, for a request that would
// miss it in its own region. Without such options it returns the local ones.
func (t *EngineTable) withRemote(now time.Time, req *Request, local []option) []option {
	var remote []option
	for _, u := range t.engines {
		if u.local || !t.usable(now, u, req, false) || (u.load != nil && u.load.Role == rolePrefill) {
			continue
		}
		link := t.link(u.cfg.Region)
		c := t.candidate(now, u, req)
		if !u.fresh(now) && !t.applyZoneMean(&c, req) {
			continue
		}
		o := t.singleOption(req, &c, link.Latency.D())
		size := float64(bytesPerPromptToken * req.PromptTokens)
		if link.BytesPerSecond > 0 {
			o.firstToken += size / float64(link.BytesPerSecond)
		}
		o.score += size / 1e9 * link.CostPerGB
		if o.firstToken <= t.target.first {
			remote = append(remote, o)
		}
	}
	if len(remote) == 0 {
		return local
	}
	return remote
}

// applyZoneMean replaces the estimate for an engine without a load report by the mean over its zone's engines. It
// returns false if the zone's load is unknown or too high for requests of other regions.
func (t *EngineTable) applyZoneMean(c *candidate, req *Request) bool {
	zone := t.zones[c.upstream.cfg.Region+"/"+c.upstream.cfg.Zone]
	if zone == nil {
		return false
	}
	capacity := t.capacity(zone, req)
	if capacity == nil || capacity.Engines == 0 || capacity.PrefillTokensPerSecond == 0 || float64(capacity.Running) > remoteBatchLimit*float64(capacity.MaxRunning) {
		return false
	}
	share := 1 / float64(capacity.Engines)
	c.state.waitingTokens += share * float64(capacity.WaitingTokens)
	c.state.prefillRate = share * float64(capacity.PrefillTokensPerSecond)
	c.prefillTime = (c.state.waitingTokens + c.uncached) / c.state.prefillRate
	return true
}

// capacity returns the zone's capacity for the request's model and version, or nil.
func (t *EngineTable) capacity(zone *peerpb.ZoneSummary, req *Request) *peerpb.ModelCapacity {
	for _, c := range zone.Models {
		if int(c.Model) < len(t.versions) && isVersion(t.versions[c.Model], req) {
			return c
		}
	}
	return nil
}
