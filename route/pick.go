package route

import (
	"slices"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

const (
	// localKVBytesPerSecond is the rate between engines of one region (100 Gbit/s); links between regions are configured.
	localKVBytesPerSecond = 12.5e9
	localLatency          = time.Millisecond
	// Defaults of config.Model and config.Link.
	defaultKVBytesPerToken = 100000
	defaultLinkLatency     = 20 * time.Millisecond
	// bytesPerPromptToken is what a request carries over a link between regions.
	bytesPerPromptToken = 4
	defaultCostPerGB    = 1.0
	// pairCandidates bounds the pairs of engines that are compared, so that a decision stays linear in the engines.
	pairCandidates = 4
	// remoteBatch is the use of the batches of another region up to which work is sent there. All other regions see the
	// same late summary, and the region's own work has to find room.
	remoteBatch = 0.6
	// allowedGaps is the share of gaps between tokens that may be long: the target is a 95th percentile.
	allowedGaps = 0.05
	// holdTime is the time between two looks at a request that is held back; reports come about once a second.
	holdTime = 200 * time.Millisecond
	// holdDoubt is by how much a request must be late for sure, in seconds.
	holdDoubt = 0.2
	// holdQueue is the wait, relative to the target, up to which late requests are let through.
	holdQueue = 0.05
	// holdBatch is the use of a batch up to which they are let through. The rest is for requests that are in time.
	holdBatch = 0.7
	// sureStep is the part of the target that a predicted step may use; the batch and the prompts beside it vary.
	sureStep = 0.95
	// equalScore is the difference in seconds below which two engines count as equally good. Estimates are no better
	// than the length of about one step.
	equalScore = 0.05
)

// option is one way to run a request.
type option struct {
	prefill *upstream // nil when the engine processes the prompt itself
	decode  *upstream
	first   float64 // estimated seconds to the first token
	finish  float64 // estimated seconds to the last token
	cost    float64 // work in seconds of one engine
	todo    float64 // prompt tokens to process
	score   float64 // seconds, with the harm to others and the price of bytes
	doubt   float64
	queue   float64 // seconds of waiting behind others
	slow    bool    // the batch would be slower than the target
	full    bool    // more than half of the batch is in use
	share   float64 // this instance's part of the arrivals at the engine
	crowded bool    // the batch has no room beyond what requests that are in time may need
}

// place is an engine with its expected state and its part of the estimate for one request.
type place struct {
	u        *upstream
	state    estimate
	uncached float64
	prefill  float64 // seconds until the prompt is processed
	harm     float64 // seconds, done to running requests by processing the prompt here
	seat     float64 // seconds until a place in the batch is free
	step     float64 // expected 95th percentile of the time between tokens
	load     float64 // seconds, done to later requests by processing the prompt here
	crowd    float64 // seconds, done by one more request in the batch
}

// Pick chooses where to run a request. It returns ErrNoEngine or ErrTooLate when there is no choice.
func (t *Table) Pick(now time.Time, req *Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.options(now, req, false)
	if len(local) == 0 && len(req.Exclude) > 0 {
		local = t.options(now, req, true)
	}
	options := local
	if best := bestOf(local); best == nil || best.first > t.target.first+holdDoubt {
		options = t.withRemote(now, req, local)
	}
	if len(options) == 0 {
		t.unmet.add(now, float64(req.PromptTokens), t.answerLength(req))
		return Choice{}, ErrNoEngine
	}
	chosen := t.twoOfBest(options)
	if !req.Deadline.IsZero() && now.Add(seconds(chosen.finish)).After(req.Deadline) {
		if best := earliest(options); now.Add(seconds(best.finish)).After(req.Deadline) {
			t.miss(now, best, req)
			return Choice{}, ErrTooLate
		} else {
			chosen = best
		}
	}
	if t.holdBack(now, chosen, req) {
		t.miss(now, chosen, req)
		return Choice{Hold: holdTime, FirstToken: seconds(chosen.first), Finish: seconds(chosen.finish), Cost: chosen.cost}, nil
	}
	if !chosen.decode.local {
		if best := bestOf(local); best != nil {
			t.miss(now, best, req)
		}
	}
	return chosen.choice(), nil
}

func arrival(now time.Time, req *Request) time.Time {
	if req.Arrived.IsZero() {
		return now
	}
	return req.Arrived
}

// miss counts a request that finds no room as unmet demand for the kind of work that lacks room: the answer if the batch
// is full, else the prompt. A request that is held back counts once.
func (t *Table) miss(now time.Time, o *option, req *Request) {
	switch {
	case now.Sub(arrival(now, req)) >= holdTime:
	case o.crowded || o.slow:
		t.unmet.add(now, 0, t.answerLength(req))
	default:
		t.unmet.add(now, o.todo, 0)
	}
}

// holdBack says whether a request should wait here. One that misses the target for the first token anyway, or would
// make a full batch too slow, would only make others late too; it runs when there is room.
func (t *Table) holdBack(now time.Time, o *option, req *Request) bool {
	if o.slow && o.full {
		return true
	}
	waited := now.Sub(arrival(now, req))
	if waited.Seconds()+o.first <= t.target.first+holdDoubt {
		return false
	}
	if o.queue > holdQueue*t.target.first || o.crowded {
		return true
	}
	// Each instance lets through its share of what there is room for, since all see the same room.
	return waited > 0 && t.random.Float64() >= o.share
}

func (o *option) choice() Choice {
	c := Choice{EngineID: o.decode.cfg.ID, Address: o.decode.cfg.Address, FirstToken: seconds(o.first),
		Finish: seconds(o.finish), Cost: o.cost, Uncached: int(o.todo)}
	if o.prefill != nil {
		c.PrefillID, c.PrefillAddress = o.prefill.cfg.ID, o.prefill.cfg.Address
	}
	return c
}

// twoOfBest chooses at random among the two best options if their difference is within the doubt of the estimates, so
// that instances with the same late reports do not all choose the same engine.
func (t *Table) twoOfBest(options []option) *option {
	best, second := 0, -1
	for i := 1; i < len(options); i++ {
		switch {
		case options[i].score < options[best].score:
			best, second = i, best
		case second < 0 || options[i].score < options[second].score:
			second = i
		}
	}
	if second >= 0 && equal(&options[best], &options[second]) && t.random.IntN(2) == 1 {
		return &options[second]
	}
	return &options[best]
}

// equal says whether two options are equally good as far as the estimates can tell. An option that finds more of the
// prompt in its cache is better for certain: what the other one processes again delays later requests too.
func equal(best, second *option) bool {
	if second.todo-best.todo >= engine.PieceTokens {
		return false
	}
	return second.score-best.score <= equalScore+(best.doubt+second.doubt)/2
}

func bestOf(options []option) *option {
	var best *option
	for i := range options {
		if best == nil || options[i].first < best.first {
			best = &options[i]
		}
	}
	return best
}

func earliest(options []option) *option {
	best := &options[0]
	for i := range options {
		if options[i].finish < best.finish {
			best = &options[i]
		}
	}
	return best
}

func (t *Table) usable(now time.Time, u *upstream, req *Request, lastResort bool) bool {
	if !u.available(now) || req.Avoid[u.cfg.ID] || (!lastResort && req.Exclude[u.cfg.ID]) {
		return false
	}
	if u.load == nil {
		return len(u.cfg.Models) == 0 || slices.Contains(u.cfg.Models, req.Model)
	}
	for _, index := range u.load.Models {
		if int(index) < len(t.versions) && isVersion(t.versions[index], req) {
			return true
		}
	}
	return false
}

// isVersion says whether name@version names the request's model, without building a string.
func isVersion(name string, req *Request) bool {
	n := len(req.Model)
	return len(name) == n+1+len(req.Version) && name[:n] == req.Model && name[n] == '@' && name[n+1:] == req.Version
}

// options lists the ways to run the request within the region.
func (t *Table) options(now time.Time, req *Request, lastResort bool) []option {
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

func (t *Table) answerLength(req *Request) float64 {
	return min(float64(max(req.MaxTokens, 1)), t.length(req.MaxTokens).or(float64(max(req.MaxTokens, 1))))
}

// batchTimes returns the step model of the engine's role, the mean stay in its batch and its step, in seconds.
func (t *Table) batchTimes(u *upstream) (steps *stepModel, stay, step float64) {
	role, running := uint32(roleMixed), 0.0
	if u.load != nil {
		role, running = u.load.Role, float64(u.load.Running)
	}
	steps = t.stepModel(role)
	return steps, t.meanStay(steps, running), steps.predict(running, 0)
}

// place estimates the parts of the cost of one engine.
func (t *Table) place(now time.Time, u *upstream, req *Request) place {
	steps, stay, step := t.batchTimes(u)
	p := place{u: u, state: u.estimate(now, t.models[req.Model].PrefillTokensPerSecond, stay, step)}
	p.uncached = float64(u.uncached(now, req))
	p.prefill = (p.state.waiting + p.uncached) / p.state.rate
	n := p.state.running
	length := t.answerLength(req)
	disturbed := 0.0
	if p.state.busy > allowedGaps || p.state.waiting > 0 {
		disturbed = 1
	}
	p.step = steps.predict(n+1, disturbed)
	if over := n + 1 - p.state.maximum; over > 0 {
		p.seat = over / p.state.maximum * stay
	}
	p.crowd = t.crowding(steps, n, disturbed, length)
	p.load = p.uncached / p.state.rate * min(4, p.state.busy/(1-min(p.state.busy, 0.8)))
	p.harm = t.disturbance(steps, n, p.uncached/p.state.rate, stay)
	return p
}

// meanStay is the time that a request found in the batch spends there. Long answers are found more often in proportion
// to their length, so it is the mean weighted by length.
func (t *Table) meanStay(steps *stepModel, running float64) float64 {
	if !t.answers.known || t.answers.value <= 0 {
		return t.target.first
	}
	return max(t.target.between, t.squares.value/t.answers.value*steps.predict(running, 0))
}

// crowding is the cost of one more request in the batch: a batch whose step passes the target makes all of its
// requests late. The cost of one late answer is taken as the first token target.
func (t *Table) crowding(steps *stepModel, n, disturbed, length float64) float64 {
	if length <= 1 {
		return 0
	}
	// A tenth of the target is the margin over which a prediction turns from sure to late.
	excess := (steps.predict(n+1, disturbed) - sureStep*t.target.between) / (0.1 * t.target.between)
	if excess <= -1 {
		return 0
	}
	return t.target.first * min(1, 1+excess) * (1 + 0.1*n)
}

// disturbance is the cost that processing a prompt has for the requests that are being decoded: each has a budget of
// long gaps of allowedGaps of its stay.
func (t *Table) disturbance(steps *stepModel, n, duration, stay float64) float64 {
	if n < 1 || steps.predict(n, 1) <= t.target.between {
		return 0
	}
	lost := min(1, duration/(allowedGaps*stay))
	return t.target.first * n * lost
}

func (t *Table) late(first float64) float64 {
	if first <= t.target.first {
		return 0
	}
	return t.target.first
}

func (t *Table) wholeOption(req *Request, p *place, latency time.Duration) option {
	first := 2*latency.Seconds() + p.prefill + p.seat + p.step
	return option{
		decode:  p.u,
		first:   first,
		finish:  first + t.answerLength(req)*p.step,
		cost:    p.uncached/p.state.rate + t.answerLength(req)*p.step/p.state.maximum,
		score:   first + t.late(first) + p.harm + p.crowd + p.load,
		doubt:   p.state.doubt,
		todo:    p.uncached,
		queue:   p.state.waiting/p.state.rate + p.seat,
		slow:    p.step > sureStep*t.target.between && t.answerLength(req) > 1,
		full:    p.state.running > p.state.maximum/2,
		share:   p.state.share,
		crowded: p.state.running > holdBatch*p.state.maximum,
	}
}

func (t *Table) pairOption(req *Request, p, d *place) option {
	size := float64(t.kvBytes(req.Model)) * float64(req.PromptTokens)
	transfer := size/localKVBytesPerSecond + localLatency.Seconds()
	first := 2*localLatency.Seconds() + p.prefill + transfer + d.seat + d.step
	return option{
		prefill: p.u,
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

func (t *Table) kvBytes(model string) int64 {
	if b := t.models[model].KVBytesPerToken; b > 0 {
		return b
	}
	return defaultKVBytesPerToken
}

func (t *Table) link(to string) config.Link {
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
func (t *Table) withRemote(now time.Time, req *Request, local []option) []option {
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
func (t *Table) fromZone(p *place, req *Request) bool {
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

func (t *Table) capacity(zone *peerpb.ZoneSummary, req *Request) *peerpb.ModelCapacity {
	for _, c := range zone.Models {
		if int(c.Model) < len(t.versions) && isVersion(t.versions[c.Model], req) {
			return c
		}
	}
	return nil
}
