package route

import (
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/peer/peerpb"
)

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

// withRemote adds engines of other regions that would be in time, for a request that would be late at home.
func (t *EngineTable) withRemote(now time.Time, req *Request, local []option) []option {
	var remote []option
	for _, u := range t.engines {
		if u.local || !t.usable(now, u, req, false) || (u.load != nil && u.load.Role == rolePrefill) {
			continue
		}
		link := t.link(u.cfg.Region)
		p := t.place(now, u, req)
		if !u.fresh(now) && !t.fromZone(&p, req) {
			continue
		}
		o := t.wholeOption(req, &p, link.Latency.D())
		size := float64(bytesPerPromptToken * req.PromptTokens)
		if link.BytesPerSecond > 0 {
			o.first += size / float64(link.BytesPerSecond)
		}
		o.score += size / 1e9 * link.CostPerGB
		if o.first <= t.target.first {
			remote = append(remote, o)
		}
	}
	if len(remote) == 0 {
		return local
	}
	return remote
}

// fromZone replaces the estimate by the mean of the zone, which is all that is known of an engine without own report.
func (t *EngineTable) fromZone(p *place, req *Request) bool {
	zone := t.zones[p.u.cfg.Region+"/"+p.u.cfg.Zone]
	if zone == nil {
		return false
	}
	c := t.capacity(zone, req)
	if c == nil || c.Engines == 0 || c.PrefillTokensPerSecond == 0 || float64(c.Running) > remoteBatch*float64(c.MaxRunning) {
		return false
	}
	share := 1 / float64(c.Engines)
	p.state.waiting += share * float64(c.WaitingTokens)
	p.state.rate = share * float64(c.PrefillTokensPerSecond)
	p.prefill = (p.state.waiting + p.uncached) / p.state.rate
	return true
}

func (t *EngineTable) capacity(zone *peerpb.ZoneSummary, req *Request) *peerpb.ModelCapacity {
	for _, c := range zone.Models {
		if int(c.Model) < len(t.versions) && isVersion(t.versions[c.Model], req) {
			return c
		}
	}
	return nil
}
