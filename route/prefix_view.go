package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"rhubarbpoint/engine"
)

// prefixViewPieces bounds the memory for one engine. An engine of 80 GB holds about 200 pieces of 400 MB.
const prefixViewPieces = 1024

// prefixView is what this instance believes to be in one engine's prefix cache: pieces that it sent there itself and
// pieces that cache events name. Events come late and some are lost, so a piece also counts as evicted when it was not
// used for longer than pieces recently stayed in the cache.
type prefixView struct {
	pieces *lru.LRU[uint64, sighting]
	last   uint64
	epoch  string
	// lifetime is the time between last use and eviction in seconds, learned from eviction events.
	lifetime mean
	now      time.Time
}

// sighting is the last news of a piece.
type sighting struct {
	at      time.Time
	evicted bool
}

func newPrefixView() *prefixView {
	pieces, err := lru.NewLRU[uint64, sighting](prefixViewPieces, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &prefixView{pieces: pieces}
}

// used notes that a request with these pieces was processed at the engine.
func (v *prefixView) used(now time.Time, pieces []uint64) {
	v.now = later(v.now, now)
	for _, piece := range pieces {
		v.pieces.Add(piece, sighting{at: now})
	}
}

// cached returns the number of leading pieces that are believed to be in the cache. A piece is stored after those
// before it and evicted before them, so one that is known to be there vouches for earlier ones whose events were lost.
func (v *prefixView) cached(now time.Time, pieces []uint64) int {
	limit := v.lifetimeLimit()
	known := 0
	for i, piece := range pieces {
		s, ok := v.pieces.Peek(piece)
		if ok && s.evicted {
			break
		}
		if ok && now.Sub(s.at) <= limit {
			known = i + 1
		}
	}
	return known
}

// size returns the number of pieces that are believed to be in the cache.
func (v *prefixView) size(now time.Time) int {
	limit, n := v.lifetimeLimit(), 0
	for _, s := range v.pieces.Values() {
		if !s.evicted && now.Sub(s.at) <= limit {
			n++
		}
	}
	return n
}

// lifetimeLimit is unbounded until an eviction was seen. The factor allows for pieces
// that live longer than the mean, and for uses by other instances, which cause no event.
func (v *prefixView) lifetimeLimit() time.Duration {
	if !v.lifetime.known {
		return time.Duration(1<<63 - 1)
	}
	return seconds(4 * v.lifetime.value)
}

// apply takes a batch of events. Events are late, so an eviction of a piece that was sent again after the batch was
// made may be wrong; the next stored event corrects it.
func (v *prefixView) apply(events *engine.CacheEvents) {
	if events.Epoch != v.epoch {
		if v.epoch != "" {
			v.pieces.Purge()
		}
		v.epoch, v.last = events.Epoch, 0
	}
	for _, e := range events.Events {
		if e.Seq <= v.last {
			continue
		}
		if !e.Evicted {
			v.pieces.Add(e.Block, sighting{at: v.now})
			continue
		}
		if s, ok := v.pieces.Peek(e.Block); ok && !s.evicted && v.now.After(s.at) {
			v.lifetime.add(v.now.Sub(s.at).Seconds())
		}
		v.pieces.Add(e.Block, sighting{at: v.now, evicted: true})
	}
	v.last = max(v.last, events.Last)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
