package route

import (
	"slices"
	"time"
)

const (
	// localKVBytesPerSecond is the bandwidth between engines of one region (100 Gbit/s); links between regions are
	// configured.
	localKVBytesPerSecond = 12.5e9
	localLatency          = time.Millisecond
	// Defaults of config.Model and config.Link.
	defaultKVBytesPerToken = 100000
	defaultLinkLatency     = 20 * time.Millisecond
	// bytesPerPromptToken is the size of a request on a link between regions.
	bytesPerPromptToken = 4
	defaultCostPerGB    = 1.0
	// maxPairCandidates bounds the prefill and the decode engines that are combined in pairs, so that a decision stays
	// linear in the number of engines.
	maxPairCandidates = 4
	// remoteBatchLimit is the share of batch slots in use up to which requests are sent to a zone of another region on
	// the basis of its load summary. All other regions see the same outdated summary, and the zone needs capacity for
	// the work of its own region.
	remoteBatchLimit = 0.6
	// longGapShare is the share of gaps between tokens that may be long: the target is a 95th percentile.
	longGapShare = 0.05
	// holdInterval is the time until a request that is held back is tried again; load reports come about once a second.
	holdInterval = 200 * time.Millisecond
	// holdMargin is the time beyond the target for the first token from which a request counts as late, in seconds.
	holdMargin = 0.2
	// holdQueueLimit is the queueing delay, relative to the target, up to which late requests are let through.
	holdQueueLimit = 0.05
	// holdBatchLimit is the share of batch slots in use up to which late requests are let through. The remaining slots
	// are kept for requests that are in time.
	holdBatchLimit = 0.7
	// stepLimit is the part of the target that a predicted step may use; the batch and the prompts processed with it
	// vary.
	stepLimit = 0.95
	// equivalentScore is the difference in seconds up to which two options count as equally good. Estimates are no more
	// exact than the length of about one step.
	equivalentScore = 0.05
)

// Pick chooses where to run a request. It returns ErrNoEngine if no engine can run it and ErrTooLate if none can by its
// deadline.
func (t *EngineTable) Pick(now time.Time, req *Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.options(now, req, false)
	if len(local) == 0 && len(req.Deprioritized) > 0 {
		local = t.options(now, req, true)
	}
	options := local
	if best := earliestFirstToken(local); best == nil || best.firstToken > t.target.first+holdMargin {
		options = t.withRemote(now, req, local)
	}
	if len(options) == 0 {
		t.unmet.add(now, float64(req.PromptTokens), t.expectedOutput(req))
		return Choice{}, ErrNoEngine
	}
	chosen := t.pickOfTwoBest(options)
	if !req.Deadline.IsZero() && now.Add(seconds(chosen.finish)).After(req.Deadline) {
		if best := earliestFinish(options); now.Add(seconds(best.finish)).After(req.Deadline) {
			t.recordUnmet(now, best, req)
			return Choice{}, ErrTooLate
		} else {
			chosen = best
		}
	}
	if t.holdBack(now, chosen, req) {
		t.recordUnmet(now, chosen, req)
		return Choice{HoldFor: holdInterval, FirstToken: seconds(chosen.firstToken), Finish: seconds(chosen.finish), Cost: chosen.cost}, nil
	}
	if !chosen.decode.local {
		if best := earliestFirstToken(local); best != nil {
			t.recordUnmet(now, best, req)
		}
	}
	return chosen.choice(), nil
}

// arrival returns the arrival time of a request, which is now if the request does not state it.
func arrival(now time.Time, req *Request) time.Time {
	if req.Arrived.IsZero() {
		return now
	}
	return req.Arrived
}

// recordUnmet counts a request that an option cannot serve in time as unmet demand for the kind of work that lacks
// capacity: decode if the batch is the limit, otherwise prefill. A request that is held back repeatedly counts once.
func (t *EngineTable) recordUnmet(now time.Time, o *option, req *Request) {
	switch {
	case now.Sub(arrival(now, req)) >= holdInterval:
	case o.batchAtHoldLimit || o.slowStep:
		t.unmet.add(now, 0, t.expectedOutput(req))
	default:
		t.unmet.add(now, o.uncached, 0)
	}
}

// holdBack reports whether a request should wait in this instance. A request that will miss the target for the first
// token anyway, or that would make a batch that is more than half full too slow, would only make other requests late
// too. It runs when there is capacity.
func (t *EngineTable) holdBack(now time.Time, o *option, req *Request) bool {
	if o.slowStep && o.halfFull {
		return true
	}
	waited := now.Sub(arrival(now, req))
	if waited.Seconds()+o.firstToken <= t.target.first+holdMargin {
		return false
	}
	if o.wait > holdQueueLimit*t.target.first || o.batchAtHoldLimit {
		return true
	}
	// All instances see the same free capacity, so each lets through only its share of the arrivals.
	return waited > 0 && t.random.Float64() >= o.ownShare
}

// pickOfTwoBest chooses at random between the two best options if they are equivalent within the uncertainty of the
// estimates, so that instances with the same outdated load reports do not all choose the same engine.
func (t *EngineTable) pickOfTwoBest(options []option) *option {
	best, second := 0, -1
	for i := 1; i < len(options); i++ {
		switch {
		case options[i].score < options[best].score:
			best, second = i, best
		case second < 0 || options[i].score < options[second].score:
			second = i
		}
	}
	if second >= 0 && equivalent(&options[best], &options[second]) && t.random.IntN(2) == 1 {
		return &options[second]
	}
	return &options[best]
}

// usable reports whether an engine may run a request. With lastResort it ignores req.Deprioritized.
func (t *EngineTable) usable(now time.Time, u *upstream, req *Request, lastResort bool) bool {
	if !u.available(now) || req.Excluded[u.cfg.ID] || (!lastResort && req.Deprioritized[u.cfg.ID]) {
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

// isVersion reports whether name is the request's model@version, without building a string.
func isVersion(name string, req *Request) bool {
	n := len(req.Model)
	return len(name) == n+1+len(req.Version) && name[:n] == req.Model && name[n] == '@' && name[n+1:] == req.Version
}

// expectedOutput returns the expected number of output tokens of a request.
func (t *EngineTable) expectedOutput(req *Request) float64 {
	return min(float64(max(req.MaxTokens, 1)), t.meanOutput(req.MaxTokens).valueOr(float64(max(req.MaxTokens, 1))))
}
