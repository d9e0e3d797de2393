package simfleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/relay"
)

const (
	// The spreads are the standard deviations of the logarithm of lengths and service times, which are log-normal: most
	// prompts are short and a few are several times the mean.
	ownSpread         = 0.8
	sharedSpread      = 0.5
	eventSpread       = 0.7
	serviceTimeSpread = 0.5
	// maxLengthFactor limits the length of a prompt's own segment, relative to the mean. The number of events is limited
	// by maxLengthFactor/2, an integer division.
	maxLengthFactor = 5
	// baseCredit is the share of a request's credit that does not depend on its length. eventTokens is the weight of an
	// event in that length, in prompt tokens. maxCreditFactor limits the credit of a request, relative to the mean of its
	// kind.
	baseCredit      = 0.3
	eventTokens     = 10
	maxCreditFactor = 4
)

// generator draws the requests of a deployment.
type generator struct {
	d      *Deployment
	random *rand.Rand
	nextID uint64
	// shared holds the shared segments of each kind by level.
	shared map[*Kind][][]relay.PromptSegment
}

// generate returns the requests of a deployment in order of arrival. The same seed gives the same requests.
func generate(d *Deployment, seed uint64) []*request {
	g := &generator{d: d, random: rand.New(rand.NewPCG(seed, 0x51)), shared: make(map[*Kind][][]relay.PromptSegment)}
	var list []*request
	for i := range d.Kinds {
		k := &d.Kinds[i]
		g.addShared(k)
		// Draws arrivals at the highest rate and drops some of them where the rate is lower (thinning).
		highest := g.maxRateFactor(k)
		for at := 0.0; ; {
			at += g.random.ExpFloat64() / (k.Rate * highest)
			if at >= d.Length {
				break
			}
			if g.random.Float64()*highest < d.rateFactor(k, at) {
				list = append(list, g.request(k, simclock.Seconds(at)))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return list
}

// rateFactor returns the factor on the rate of a kind at a time. The factors of bursts that overlap multiply.
func (d *Deployment) rateFactor(k *Kind, at float64) float64 {
	factor := 1.0
	for _, b := range d.Bursts {
		if b.Kind == k.Name && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

// maxRateFactor returns the largest rateFactor of a kind.
func (g *generator) maxRateFactor(k *Kind) float64 {
	highest := g.d.rateFactor(k, 0)
	for _, b := range g.d.Bursts {
		highest = max(highest, g.d.rateFactor(k, b.At), g.d.rateFactor(k, b.At+b.For))
	}
	return highest
}

// addShared draws the shared segments of a kind.
func (g *generator) addShared(k *Kind) {
	for _, level := range k.Shared {
		segments := make([]relay.PromptSegment, level.Segments)
		for i := range segments {
			segments[i] = g.segment(level.Tokens, sharedSpread)
		}
		g.shared[k] = append(g.shared[k], segments)
	}
}

func (g *generator) segment(mean, spread float64) relay.PromptSegment {
	g.nextID++
	return relay.PromptSegment{ID: g.nextID, Tokens: max(1, int(g.logNormal(mean, spread)))}
}

// logNormal draws a number with the given mean.
func (g *generator) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*g.random.NormFloat64()-spread*spread/2)
}

func (g *generator) request(k *Kind, at time.Duration) *request {
	r := &request{kind: k, zone: g.zone(), arrived: at, creditFactor: 1, events: 1}
	if g.d.service(k.Service).Engine == nil {
		r.serviceTime = millis(g.logNormal(k.ServiceTime, serviceTimeSpread))
		return r
	}
	// The segment of the last level determines those of the levels before it.
	levels := g.shared[k]
	last := 0
	if len(levels) > 0 {
		last = g.random.IntN(len(levels[len(levels)-1]))
	}
	for _, level := range levels {
		r.prompt.Segments = append(r.prompt.Segments, level[last%len(level)])
	}
	own := g.segment(k.OwnTokens, ownSpread)
	own.Tokens = min(own.Tokens, int(maxLengthFactor*k.OwnTokens))
	r.ownTokens = own.Tokens
	r.prompt.Segments = append(r.prompt.Segments, own)
	mean := k.OwnTokens + eventTokens*k.Events
	for _, level := range k.Shared {
		mean += level.Tokens
	}
	for _, p := range r.prompt.Segments {
		r.prompt.Tokens += p.Tokens
	}
	r.events = max(1, int(math.Round(min(maxLengthFactor/2*k.Events, g.logNormal(k.Events, eventSpread)))))
	r.creditFactor = min(maxCreditFactor, baseCredit+(1-baseCredit)*float64(r.prompt.Tokens+eventTokens*r.events)/mean)
	return r
}

// zone draws the zone of a request by the loads of the zones.
func (g *generator) zone() int {
	total := 0.0
	for _, z := range g.d.Zones {
		total += z.Load
	}
	point := g.random.Float64() * total
	for i, z := range g.d.Zones {
		if point -= z.Load; point < 0 {
			return i
		}
	}
	return len(g.d.Zones) - 1
}
