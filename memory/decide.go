package memory

import "time"

const (
	// ProgressTime is the time within which a caller must accept or send a piece to count as making progress. It is less
	// than the 5 s after which a write to a caller fails in any case, and the pieces are small enough that a caller of a
	// buffered response that keeps up with that limit (64 KB in 5 s) completes one of 16 KB in 1.3 s.
	ProgressTime = 2 * time.Second
	// smallBody is the size up to which a body may take room that is kept for responses: refusing it would free little.
	smallBody = 16 << 10
	// maxRoomTime bounds the expected time until there is room. A caller that accepts nothing is gone after 5 s.
	maxRoomTime = 5 * time.Second
)

// verdict is the decision on a reservation.
type verdict int

const (
	granted verdict = iota
	// full means that there may be room later.
	full
	// neverFits means that one request must not hold that much.
	neverFits
)

// decide decides whether a request that holds own bytes may hold n more while held bytes are held in sum. It answers
// bursts of large bodies, which are refused before they take the room that the responses to accepted requests need. A
// request with a small body is refused only when no room is left at all, one without a body too, since its response needs
// some.
func decide(b Bounds, purpose Purpose, held, own, n int64) verdict {
	switch {
	case !b.Limited():
		return granted
	case own+n > b.Request:
		return neverFits
	case purpose == Body && n == 0:
		n = 1
	}
	if held+n > limitFor(b, purpose, n) {
		return full
	}
	return granted
}

// limitFor returns the most bytes that may be held in sum after n more are held for a purpose.
func limitFor(b Bounds, purpose Purpose, n int64) int64 {
	if purpose == Body && n > smallBody {
		return b.Bodies
	}
	return b.Sum
}

// caller is what the choice of the callers that are ended depends on.
type caller struct {
	held int64
	// stalled is the time since the caller last accepted or sent a piece, 0 if the instance does not wait for it.
	stalled time.Duration
	// ending is set if the caller was ended and its bytes are about to be free.
	ending bool
}

// choose returns the callers to end so that missing bytes become free, the first one first. It answers callers that stop
// reading or sending while the instance holds bytes for them, until sound requests find no room. Only callers that have
// made no progress for ProgressTime are ended; of these, those that have held the most bytes for the longest. Callers
// that make slow progress keep what they hold.
func choose(callers []caller, missing int64) (chosen []int) {
	picked := make(map[int]bool)
	for _, c := range callers {
		if c.ending {
			missing -= c.held
		}
	}
	for missing > 0 {
		best, bestCost := -1, 0.0
		for i, c := range callers {
			cost := float64(c.held) * c.stalled.Seconds()
			if !c.ending && !picked[i] && c.stalled >= ProgressTime && cost > bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			break
		}
		picked[best] = true
		chosen = append(chosen, best)
		missing -= callers[best].held
	}
	return chosen
}

// roomTime returns the expected time until missing bytes are free, from the rate at which bytes became free lately. If
// none did, a caller must have stalled for ProgressTime first.
func roomTime(missing int64, freedPerSecond float64) time.Duration {
	if freedPerSecond <= 0 {
		return ProgressTime
	}
	return time.Duration(min(float64(missing)/freedPerSecond, maxRoomTime.Seconds()) * float64(time.Second))
}
