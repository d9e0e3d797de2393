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

// Options set up a table.
type Options struct {
	// Region and Zone are those of this instance.
	Region string
	Zone   string
	// Seed makes the random choices repeatable.
	Seed uint64
}

// EngineTable is the table of engines of one instance. It implements Router and Sink. It is safe for concurrent use; its
// lock is held for the length of one decision only.
type EngineTable struct {
	opts Options

	mu       sync.Mutex
	random   *rand.Rand
	doc      *config.Document
	engines  []*upstream // in order of their IDs
	byID     map[string]*upstream
	models   map[string]config.Model
	versions []string // sorted name@version, as load records index them
	links    map[[2]string]config.Link
	zones    map[string]*peerpb.ZoneSummary
	steps    map[uint32]*stepModel // by role
	// lengths is the mean answer length for each class of MaxTokens, by powers of two.
	lengths [lengthClasses]mean
	// answers and squares are means of the answer length and of its square, for the time that requests stay in a batch.
	answers mean
	squares mean
	unmet   unmet // tokens/s
	target  targets
	// scratch is the memory of one decision, kept because a region can have hundreds of engines.
	scratch struct {
		whole, prefill, decode, fallback []place
		options                          []option
	}
}

var (
	_ Router = (*EngineTable)(nil)
	_ Sink   = (*EngineTable)(nil)
)

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

// SetDocument takes a new configuration. What is known of engines that stay is kept.
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

// Available returns the number of engines of the region that take new work.
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

// Serving returns how many engines of the region report that they can serve a version of a model.
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

// UpdateLoad takes a load record. Records older than the known one are ignored.
func (t *EngineTable) UpdateLoad(now time.Time, load *peerpb.UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byID[load.Upstream]
	if u == nil || !u.takeLoad(load) {
		return
	}
	if load.Waiting > 0 && load.WaitingTokens > 0 {
		// All instances' requests wait there, so this mean follows the mix faster than own sends do.
		u.prefills.add(float64(load.WaitingTokens) / float64(load.Waiting))
	}
	busy := 0.0
	if load.PrefillTokensPerSecond > 0 {
		busy = min(1, float64(load.ArrivalsMilli)/1000*u.prefills.or(0)/float64(load.PrefillTokensPerSecond))
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

// UpdateCache takes cache events of an engine.
func (t *EngineTable) UpdateCache(engineID string, events *engine.CacheEvents) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.byID[engineID]; u != nil {
		u.prefixes.apply(events)
	}
}

// UpdateZone takes the summary of another zone.
func (t *EngineTable) UpdateZone(_ time.Time, zone *peerpb.ZoneSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := zone.Region + "/" + zone.Zone
	if old := t.zones[key]; old == nil || zone.Seq >= old.Seq {
		t.zones[key] = zone
	}
}

// SetLeaving excludes an engine from new work until a start with another epoch is reported. A record of a start that no
// load report has shown yet counts at once; a record of an earlier start excludes the engine until its next report.
func (t *EngineTable) SetLeaving(id string, epochHash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.byID[id]; u != nil {
		u.leaving, u.leavingEpoch = true, epochHash
	}
}

// SetPlanned excludes an engine from new work for a planned change until the given time, or until a load report shows
// another role or other models. The holder renews it, so that the exclusion by a holder that died ends by itself. A
// zero time ends it.
func (t *EngineTable) SetPlanned(now time.Time, id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byID[id]
	if u == nil {
		return
	}
	if u.load != nil && !now.Before(u.plannedUntil) {
		u.plannedRole, u.plannedList = u.load.Role, u.load.Models
		u.plannedAt = now
	}
	u.plannedUntil = until
}

// Sent counts an attempt against its engines.
func (t *EngineTable) Sent(now time.Time, choice Choice, req *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, second := t.byID[choice.EngineID], (*upstream)(nil)
	if choice.PrefillID != "" {
		first, second = t.byID[choice.PrefillID], t.byID[choice.EngineID]
	}
	if first != nil {
		todo := first.uncached(now, req)
		answer := t.answerLength(req)
		if second != nil {
			answer = 0
		}
		first.begin(now, req.ID, leg{sent: now, prefillTokens: todo, decodes: second == nil, answer: answer})
		first.prefixes.used(now, req.PrefixHashes)
	}
	if second != nil {
		second.begin(now, req.ID, leg{sent: now, decodes: true, answer: t.answerLength(req)})
	}
}

func (u *upstream) uncached(now time.Time, req *Request) int {
	return max(1, req.PromptTokens-u.prefixes.cached(now, req.PrefixHashes)*engine.BlockTokens)
}

func (u *upstream) begin(now time.Time, id string, l leg) {
	u.legs[id] = l
	u.sends = append(u.sends, now)
	u.prefills.add(float64(l.prefillTokens))
	u.decodes.add(l.answer)
}

// Finished ends what Sent began.
func (t *EngineTable) Finished(now time.Time, choice Choice, req *Request, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range []string{choice.EngineID, choice.PrefillID} {
		u := t.byID[id]
		if u == nil {
			continue
		}
		l, ok := u.legs[req.ID]
		if !ok {
			continue
		}
		delete(u.legs, req.ID)
		if l.decodes && u.load != nil && !l.sent.After(u.loadAt) {
			u.ended = append(u.ended, now)
		}
		if !outcome.Failed && (id == choice.PrefillID || choice.PrefillID == "") {
			u.prefixes.used(l.sent, req.PrefixHashes) // corrects evictions that were reported late
		}
		if outcome.Failed && u.load == nil {
			u.refusedUntil = now.Add(refusedFor)
		}
	}
	if !outcome.Failed && outcome.Tokens > 0 {
		tokens := float64(outcome.Tokens)
		t.length(req.MaxTokens).add(tokens)
		t.answers.add(tokens)
		t.squares.add(tokens * tokens)
	}
}

// lengthClasses is the number of classes of MaxTokens.
const lengthClasses = 32

// length returns the mean answer length of requests with a similar limit.
func (t *EngineTable) length(maxTokens int) *mean {
	class := 0
	for n := maxTokens; n > 1 && class < lengthClasses-1; n /= 2 {
		class++
	}
	return &t.lengths[class]
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
