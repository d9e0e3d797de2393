package route

import (
	"slices"
	"time"
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

// Pick chooses where to run a request. It returns ErrNoEngine or ErrTooLate when there is no choice.
func (t *EngineTable) Pick(now time.Time, req *Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.options(now, req, false)
	if len(local) == 0 && len(req.Deprioritized) > 0 {
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
		return Choice{HoldFor: holdTime, FirstToken: seconds(chosen.first), Finish: seconds(chosen.finish), Cost: chosen.cost}, nil
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
func (t *EngineTable) miss(now time.Time, o *option, req *Request) {
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
func (t *EngineTable) holdBack(now time.Time, o *option, req *Request) bool {
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

// twoOfBest chooses at random among the two best options if their difference is within the doubt of the estimates, so
// that instances with the same late reports do not all choose the same engine.
func (t *EngineTable) twoOfBest(options []option) *option {
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

// isVersion says whether name@version names the request's model, without building a string.
func isVersion(name string, req *Request) bool {
	n := len(req.Model)
	return len(name) == n+1+len(req.Version) && name[:n] == req.Model && name[n] == '@' && name[n+1:] == req.Version
}

func (t *EngineTable) answerLength(req *Request) float64 {
	return min(float64(max(req.MaxTokens, 1)), t.length(req.MaxTokens).or(float64(max(req.MaxTokens, 1))))
}
