package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"rhubarbpoint/engine"
)

// prefixViewBlocks bounds the memory for one engine. An engine of 80 GB holds about 200 blocks of 400 MB.
const prefixViewBlocks = 1024

// prefixView is this instance's view of one engine's prefix cache: blocks of requests that it sent there and blocks in
// cache events. Events are delayed and some are lost, so a block also counts as evicted if it has been unused for much
// longer than evicted blocks recently were.
type prefixView struct {
	blocks  *lru.LRU[uint64, blockState]
	lastSeq uint64
	epoch   string
	// lifetime is the time between last use and eviction in seconds, learned from eviction events.
	lifetime mean
	now      time.Time
}

// blockState is the last known state of a block.
type blockState struct {
	at      time.Time
	evicted bool
}

func newPrefixView() *prefixView {
	blocks, err := lru.NewLRU[uint64, blockState](prefixViewBlocks, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &prefixView{blocks: blocks}
}

// markUsed records that a request with these blocks was processed at the engine.
func (v *prefixView) markUsed(now time.Time, blocks []uint64) {
	v.now = later(v.now, now)
	for _, block := range blocks {
		v.blocks.Add(block, blockState{at: now})
	}
}

// cached returns the number of leading blocks that are assumed to be in the cache. A block is stored after the blocks
// that precede it in the prompt and evicted before them, so a known block implies the preceding ones, whose events may
// be lost.
func (v *prefixView) cached(now time.Time, blocks []uint64) int {
	limit := v.lifetimeLimit()
	known := 0
	for i, block := range blocks {
		s, ok := v.blocks.Peek(block)
		if ok && s.evicted {
			break
		}
		if ok && now.Sub(s.at) <= limit {
			known = i + 1
		}
	}
	return known
}

// size returns the number of blocks that are assumed to be in the cache.
func (v *prefixView) size(now time.Time) int {
	limit, n := v.lifetimeLimit(), 0
	for _, s := range v.blocks.Values() {
		if !s.evicted && now.Sub(s.at) <= limit {
			n++
		}
	}
	return n
}

// lifetimeLimit returns the time without use after which a block counts as evicted. It is unbounded until the first
// eviction event. The factor allows for blocks that stay longer than the mean, and for uses by other instances, which
// cause no event.
func (v *prefixView) lifetimeLimit() time.Duration {
	if !v.lifetime.known {
		return time.Duration(1<<63 - 1)
	}
	return seconds(4 * v.lifetime.value)
}

// apply applies a batch of cache events. Events are delayed, so the eviction of a block that was sent again after the
// batch was made may be wrong; the next event that the block was stored corrects it.
func (v *prefixView) apply(events *engine.CacheEvents) {
	if events.Epoch != v.epoch {
		if v.epoch != "" {
			v.blocks.Purge()
		}
		v.epoch, v.lastSeq = events.Epoch, 0
	}
	for _, e := range events.Events {
		if e.Seq <= v.lastSeq {
			continue
		}
		if !e.Evicted {
			v.blocks.Add(e.Block, blockState{at: v.now})
			continue
		}
		if s, ok := v.blocks.Peek(e.Block); ok && !s.evicted && v.now.After(s.at) {
			v.lifetime.add(v.now.Sub(s.at).Seconds())
		}
		v.blocks.Add(e.Block, blockState{at: v.now, evicted: true})
	}
	v.lastSeq = max(v.lastSeq, events.Last)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
