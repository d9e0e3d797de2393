package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// Options configure an EngineTable.
type Options struct {
	// Region and Zone are the location of this instance.
	Region string
	Zone   string
	// Seed makes the random choices reproducible.
	Seed uint64
}

// EngineTable holds the state of all engines as one instance knows it. It implements Router and Sink. It is safe for
// concurrent use; its lock is held for one decision at most.
type EngineTable struct {
	opts Options

	mu       sync.Mutex
	random   *rand.Rand
	doc      *config.Document
	engines  []*upstream // in order of their IDs
	byID     map[string]*upstream
	models   map[string]config.Model
	versions []string // sorted name@version; load records contain indexes into this list
	links    map[[2]string]config.Link
	zones    map[string]*peerpb.ZoneSummary // by region/zone
	steps    map[uint32]*stepModel          // by role
	// outputByLimit is the mean number of output tokens for each class of MaxTokens.
	outputByLimit [limitClasses]mean
	// output and outputSquares are the means of the number of output tokens and of its square, from which the time that
	// requests stay in a batch is estimated.
	output        mean
	outputSquares mean
	unmet         unmetDemand // tokens/s
	target        targets
	// scratch holds buffers that decisions reuse, because a region can have hundreds of engines.
	scratch struct {
		single, prefill, decode, fallback []candidate
		options                           []option
	}
}

var (
	_ Router = (*EngineTable)(nil)
	_ Sink   = (*EngineTable)(nil)
)

// targets are the target times to the first token and between tokens, in seconds.
type targets struct{ first, between float64 }

// Defaults of config.Targets.
const (
	defaultFirstToken    = 1100 * time.Millisecond
	defaultBetweenTokens = 55 * time.Millisecond
)

// NewEngineTable returns a table without engines; SetDocument adds them.
func NewEngineTable(opts Options) *EngineTable {
	return &EngineTable{
		opts:   opts,
		random: rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		byID:   make(map[string]*upstream),
		zones:  make(map[string]*peerpb.ZoneSummary),
		steps:  make(map[uint32]*stepModel),
		target: targets{defaultFirstToken.Seconds(), defaultBetweenTokens.Seconds()},
	}
}

// SetDocument applies a new configuration. Engines with the same ID and address keep their state.
func (t *EngineTable) SetDocument(doc *config.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doc = doc
	engines := make([]*upstream, 0, len(doc.Models.Engines))
	byID := make(map[string]*upstream, len(doc.Models.Engines))
	for _, cfg := range doc.Models.Engines {
		u := t.byID[cfg.ID]
		if u == nil || u.cfg.Address != cfg.Address {
			u = newUpstream(cfg, cfg.Region == t.opts.Region)
		}
		u.cfg, u.local = cfg, cfg.Region == t.opts.Region
		engines = append(engines, u)
		byID[cfg.ID] = u
	}
	slices.SortFunc(engines, func(a, b *upstream) int { return compare(a.cfg.ID, b.cfg.ID) })
	t.engines, t.byID = engines, byID
	t.models = make(map[string]config.Model, len(doc.Models.Models))
	t.versions = doc.Models.VersionNames()
	for _, m := range doc.Models.Models {
		t.models[m.Name] = m
	}
	t.links = make(map[[2]string]config.Link, 2*len(doc.Network.Links))
	for _, l := range doc.Network.Links {
		t.links[[2]string{l.From, l.To}] = l
		t.links[[2]string{l.To, l.From}] = l
	}
	t.target = targets{defaultFirstToken.Seconds(), defaultBetweenTokens.Seconds()}
	if d := doc.Models.Targets.FirstToken.D(); d > 0 {
		t.target.first = d.Seconds()
	}
	if d := doc.Models.Targets.BetweenTokens.D(); d > 0 {
		t.target.between = d.Seconds()
	}
}

// Available returns the number of engines of the region that accept new requests.
func (t *EngineTable) Available(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, u := range t.engines {
		if u.local && u.available(now) {
			n++
		}
	}
	return n
}

// Serving returns the number of engines of the region that accept new requests and report that they serve a version of
// a model.
func (t *EngineTable) Serving(now time.Time, model, version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, u := range t.engines {
		if u.local && u.fresh(now) && t.usable(now, u, &Request{Model: model, Version: version}, true) {
			n++
		}
	}
	return n
}

// UpdateLoad applies a load record. A record that is not newer than the known one of the same start is ignored.
func (t *EngineTable) UpdateLoad(now time.Time, load *peerpb.UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byID[load.Upstream]
	if u == nil || !u.applyLoad(load) {
		return
	}
	if load.Waiting > 0 && load.WaitingTokens > 0 {
		// The queue holds the requests of all instances, so its mean follows a change of the request mix faster than
		// this instance's own requests.
		u.prefillTokens.add(float64(load.WaitingTokens) / float64(load.Waiting))
	}
	busy := 0.0
	if load.PrefillTokensPerSecond > 0 {
		busy = min(1, float64(load.ArrivalsMilli)/1000*u.prefillTokens.valueOr(0)/float64(load.PrefillTokensPerSecond))
	}
	if load.WaitingTokens > 0 {
		busy = 1
	}
	t.stepModel(load.Role).observe(float64(load.Running), busy, float64(load.StepMicros)/1e6)
}

func (t *EngineTable) stepModel(role uint32) *stepModel {
	m := t.steps[role]
	if m == nil {
		m = newStepModel(t.target.between, defaultMaxRunning)
		t.steps[role] = m
	}
	return m
}

// UpdateCache applies cache events of an engine.
func (t *EngineTable) UpdateCache(engineID string, events *engine.CacheEvents) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.byID[engineID]; u != nil {
		u.prefixes.apply(events)
	}
}

// UpdateZone applies the load summary of another zone, unless it is older than the known one.
func (t *EngineTable) UpdateZone(_ time.Time, zone *peerpb.ZoneSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := zone.Region + "/" + zone.Zone
	if old := t.zones[key]; old == nil || zone.Seq >= old.Seq {
		t.zones[key] = zone
	}
}

// SetLeaving excludes an engine from new requests until a load report shows a start with another epoch. It also applies
// to a start that no load report has shown yet; the epoch of an earlier start excludes the engine until its next load
// report.
func (t *EngineTable) SetLeaving(id string, epochHash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.byID[id]; u != nil {
		u.leaving, u.leavingEpoch = true, epochHash
	}
}

// SetPlanned excludes an engine from new requests for a planned change until the given time, or until a load report
// shows another role or other models. The lease holder renews the exclusion, so that it expires if the holder fails. A
// zero time ends it.
func (t *EngineTable) SetPlanned(now time.Time, id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byID[id]
	if u == nil {
		return
	}
	if u.load != nil && !now.Before(u.plannedUntil) {
		u.plannedRole, u.plannedModels = u.load.Role, u.load.Models
		u.plannedAt = now
	}
	u.plannedUntil = until
}

// Sent counts a request as in flight at the chosen engines until Finished is called.
func (t *EngineTable) Sent(now time.Time, choice Choice, req *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, second := t.byID[choice.EngineID], (*upstream)(nil)
	if choice.PrefillID != "" {
		first, second = t.byID[choice.PrefillID], t.byID[choice.EngineID]
	}
	if first != nil {
		uncached := first.uncached(now, req)
		output := t.expectedOutput(req)
		if second != nil {
			output = 0
		}
		first.begin(now, req.ID, inFlightWork{sent: now, prefillTokens: uncached, decodes: second == nil, outputTokens: output})
		first.prefixes.markUsed(now, req.PrefixHashes)
	}
	if second != nil {
		second.begin(now, req.ID, inFlightWork{sent: now, decodes: true, outputTokens: t.expectedOutput(req)})
	}
}

// uncached returns the estimated number of prompt tokens of a request that are not in the engine's prefix cache, at
// least 1.
func (u *upstream) uncached(now time.Time, req *Request) int {
	return max(1, req.PromptTokens-u.prefixes.cached(now, req.PrefixHashes)*engine.BlockTokens)
}

func (u *upstream) begin(now time.Time, id string, work inFlightWork) {
	u.inFlight[id] = work
	u.sends = append(u.sends, now)
	u.prefillTokens.add(float64(work.prefillTokens))
	u.outputTokens.add(work.outputTokens)
}

// Finished ends a request that Sent counted as in flight and learns from its outcome.
func (t *EngineTable) Finished(now time.Time, choice Choice, req *Request, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range []string{choice.EngineID, choice.PrefillID} {
		u := t.byID[id]
		if u == nil {
			continue
		}
		work, ok := u.inFlight[req.ID]
		if !ok {
			continue
		}
		delete(u.inFlight, req.ID)
		if work.decodes && u.load != nil && !work.sent.After(u.loadAt) {
			u.endedDecodes = append(u.endedDecodes, now)
		}
		if !outcome.Failed && (id == choice.PrefillID || choice.PrefillID == "") {
			u.prefixes.markUsed(work.sent, req.PrefixHashes) // corrects outdated eviction events
		}
		if outcome.Failed && u.load == nil {
			u.cooldownUntil = now.Add(failureCooldown)
		}
	}
	if !outcome.Failed && outcome.Tokens > 0 {
		tokens := float64(outcome.Tokens)
		t.meanOutput(req.MaxTokens).add(tokens)
		t.output.add(tokens)
		t.outputSquares.add(tokens * tokens)
	}
}

// limitClasses is the number of classes of MaxTokens, by powers of two.
const limitClasses = 32

// meanOutput returns the mean number of output tokens of requests with a similar limit.
func (t *EngineTable) meanOutput(maxTokens int) *mean {
	class := 0
	for n := maxTokens; n > 1 && class < limitClasses-1; n /= 2 {
		class++
	}
	return &t.outputByLimit[class]
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
