package route

import (
	"time"
)

// options lists the ways to run the request within the region.
func (t *EngineTable) options(now time.Time, req *Request, lastResort bool) []option {
	whole, prefill, decode, fallback := t.scratch.whole[:0], t.scratch.prefill[:0], t.scratch.decode[:0], t.scratch.fallback[:0]
	for _, u := range t.engines {
		if !u.local || !t.usable(now, u, req, lastResort) {
			continue
		}
		p := t.place(now, u, req)
		switch {
		case u.load == nil || u.load.Role == roleMixed:
			whole, prefill, decode = append(whole, p), append(prefill, p), append(decode, p)
		case u.load.Role == rolePrefill:
			prefill, fallback = append(prefill, p), append(fallback, p)
		default:
			whole, decode = append(whole, p), append(decode, p)
		}
	}
	t.scratch.whole, t.scratch.prefill, t.scratch.decode, t.scratch.fallback = whole, prefill, decode, fallback
	if len(whole) == 0 {
		whole = fallback
	}
	options := t.scratch.options[:0]
	for i := range whole {
		options = append(options, t.wholeOption(req, &whole[i], localLatency))
	}
	keepBest(&prefill, func(p *place) float64 { return p.prefill + p.harm })
	keepBest(&decode, func(p *place) float64 { return p.seat + p.crowd })
	for i := range prefill {
		for j := range decode {
			if prefill[i].u != decode[j].u {
				options = append(options, t.pairOption(req, &prefill[i], &decode[j]))
			}
		}
	}
	t.scratch.options = options
	return options
}

// keepBest moves the cheapest places to the front and cuts off the rest.
func keepBest(places *[]place, cost func(*place) float64) {
	list := *places
	if len(list) <= pairCandidates {
		return
	}
	for i := range pairCandidates {
		best, least := i, cost(&list[i])
		for j := i + 1; j < len(list); j++ {
			if c := cost(&list[j]); c < least {
				best, least = j, c
			}
		}
		list[i], list[best] = list[best], list[i]
	}
	*places = list[:pairCandidates]
}

func (t *EngineTable) wholeOption(req *Request, p *place, latency time.Duration) option {
	return t.newOption(req, p, p, 2*latency.Seconds()+p.prefill+p.seat+p.step)
}

func (t *EngineTable) pairOption(req *Request, p, d *place) option {
	size := float64(t.kvBytes(req.Model)) * float64(req.PromptTokens)
	transfer := size/localKVBytesPerSecond + localLatency.Seconds()
	o := t.newOption(req, p, d, 2*localLatency.Seconds()+p.prefill+transfer+d.seat+d.step)
	o.prefill = p.u
	return o
}

// newOption describes the prompt processed at p and the answer generated at d, which can be the same engine.
func (t *EngineTable) newOption(req *Request, p, d *place, first float64) option {
	return option{
		decode:  d.u,
		first:   first,
		finish:  first + t.answerLength(req)*d.step,
		cost:    p.uncached/p.state.rate + t.answerLength(req)*d.step/d.state.maximum,
		score:   first + t.late(first) + p.harm + d.crowd + p.load,
		doubt:   p.state.doubt,
		todo:    p.uncached,
		queue:   p.state.waiting/p.state.rate + d.seat,
		slow:    d.step > sureStep*t.target.between && t.answerLength(req) > 1,
		full:    d.state.running > d.state.maximum/2,
		share:   max(p.state.share, d.state.share),
		crowded: d.state.running > holdBatch*d.state.maximum,
	}
}

func (t *EngineTable) kvBytes(model string) int64 {
	if b := t.models[model].KVBytesPerToken; b > 0 {
		return b
	}
	return defaultKVBytesPerToken
}
