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
	// ownSpread, sharedSpread and eventSpread are the standard deviations of the logarithm of lengths: most prompts are short
	// and a few are several times the mean.
	ownSpread    = 0.8
	sharedSpread = 0.5
	eventSpread  = 0.7
	workSpread   = 0.5
	// longest is the longest own part and answer, relative to the mean.
	longest = 5
	// baseWorth is the part of a generation's worth that does not depend on its length, eventTokens the length of an event
	// beside a token of the prompt, and maxSize the largest worth relative to the mean.
	baseWorth   = 0.3
	eventTokens = 10
	maxSize     = 4
)

// generator draws the requests of a deployment. The same seed gives the same requests.
type generator struct {
	d      *Deployment
	random *rand.Rand
	nextID uint64
	// subjects are the shared parts of each kind by level.
	subjects map[*Kind][][]relay.PromptSegment
}

func generate(d *Deployment, seed uint64) []*request {
	g := &generator{d: d, random: rand.New(rand.NewPCG(seed, 0x51)), subjects: make(map[*Kind][][]relay.PromptSegment)}
	var list []*request
	for i := range d.Kinds {
		k := &d.Kinds[i]
		g.addSubjects(k)
		// Arrivals are thinned from the highest rate.
		highest := g.highest(k)
		for at := 0.0; ; {
			at += g.random.ExpFloat64() / (k.Rate * highest)
			if at >= d.Length {
				break
			}
			if g.random.Float64()*highest < d.factor(k, at) {
				list = append(list, g.request(k, simclock.Seconds(at)))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return list
}

// factor is by how much the rate of a kind exceeds its mean at a time. Bursts multiply each other.
func (d *Deployment) factor(k *Kind, at float64) float64 {
	factor := 1.0
	for _, b := range d.Bursts {
		if b.Kind == k.Name && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

func (g *generator) highest(k *Kind) float64 {
	highest := g.d.factor(k, 0)
	for _, b := range g.d.Bursts {
		highest = max(highest, g.d.factor(k, b.At), g.d.factor(k, b.At+b.For))
	}
	return highest
}

func (g *generator) addSubjects(k *Kind) {
	for _, level := range k.Shared {
		parts := make([]relay.PromptSegment, level.Segments)
		for i := range parts {
			parts[i] = g.part(level.Tokens, sharedSpread)
		}
		g.subjects[k] = append(g.subjects[k], parts)
	}
}

func (g *generator) part(mean, spread float64) relay.PromptSegment {
	g.nextID++
	return relay.PromptSegment{ID: g.nextID, Tokens: max(1, int(g.logNormal(mean, spread)))}
}

// logNormal draws a number with the given mean.
func (g *generator) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*g.random.NormFloat64()-spread*spread/2)
}

func (g *generator) request(k *Kind, at time.Duration) *request {
	r := &request{kind: k, zone: g.zone(), arrived: at, size: 1, events: 1}
	if g.d.service(k.Service).Engine == nil {
		r.work = millis(g.logNormal(k.ServiceTime, workSpread))
		return r
	}
	// A subject belongs to one part of each level before it.
	levels := g.subjects[k]
	subject := 0
	if len(levels) > 0 {
		subject = g.random.IntN(len(levels[len(levels)-1]))
	}
	for _, level := range levels {
		r.prompt.Segments = append(r.prompt.Segments, level[subject%len(level)])
	}
	own := g.part(k.OwnTokens, ownSpread)
	own.Tokens = min(own.Tokens, int(longest*k.OwnTokens))
	r.own = own.Tokens
	r.prompt.Segments = append(r.prompt.Segments, own)
	mean := k.OwnTokens + eventTokens*k.Events
	for _, level := range k.Shared {
		mean += level.Tokens
	}
	for _, p := range r.prompt.Segments {
		r.prompt.Tokens += p.Tokens
	}
	r.events = max(1, int(math.Round(min(longest/2*k.Events, g.logNormal(k.Events, eventSpread)))))
	r.size = min(maxSize, baseWorth+(1-baseWorth)*float64(r.prompt.Tokens+eventTokens*r.events)/mean)
	return r
}

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
