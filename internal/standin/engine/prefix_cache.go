package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"rhubarbpoint/engine"
)

// maxCacheEvents bounds the log of cache events; a reader that is further behind misses some of them.
const maxCacheEvents = 4096

// prefixCache holds the most recently used prefix blocks and the log of its changes. It is guarded by the engine's
// mutex.
type prefixCache struct {
	blocks       *lru.Cache[uint64, struct{}]
	delay        time.Duration
	lossInterval int
	seq          uint64
	now          time.Time // of the latest call of store
	events       []loggedEvent
}

// loggedEvent is a cache event that readers see only after visibleAt.
type loggedEvent struct {
	engine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(blocks int, delay time.Duration, loss int) *prefixCache {
	c := &prefixCache{delay: delay, lossInterval: loss}
	c.blocks, _ = lru.NewWithEvict(blocks, func(block uint64, _ struct{}) { c.log(block, true) })
	return c
}

// lookup returns the number of leading tokens that are cached.
func (c *prefixCache) lookup(blocks []uint64) int {
	for i, block := range blocks {
		if _, found := c.blocks.Get(block); !found {
			return i * engine.BlockTokens
		}
	}
	return len(blocks) * engine.BlockTokens
}

func (c *prefixCache) store(now time.Time, blocks []uint64) {
	c.now = now
	for _, block := range blocks {
		if !c.blocks.Contains(block) {
			c.log(block, false)
		}
		c.blocks.Add(block, struct{}{})
	}
}

func (c *prefixCache) log(block uint64, evicted bool) {
	c.seq++
	if c.lossInterval > 0 && c.seq%uint64(c.lossInterval) == 0 {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Block: block, Evicted: evicted}
	c.events = append(c.events, loggedEvent{event, c.now.Add(c.delay)})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// after returns the visible events with a sequence number greater than seq.
func (c *prefixCache) after(now time.Time, seq uint64) engine.CacheEvents {
	batch := engine.CacheEvents{Last: seq, Events: []engine.CacheEvent{}}
	for _, event := range c.events {
		if event.Seq <= seq || event.visibleAt.After(now) {
			continue
		}
		batch.Lost = batch.Lost || event.Seq != batch.Last+1
		batch.Last = event.Seq
		batch.Events = append(batch.Events, event.CacheEvent)
	}
	return batch
}
