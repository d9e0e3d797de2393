package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"rhubarbpoint/engine"
)

// keptEvents bounds the log of cache events; a reader that is further behind has lost some.
const keptEvents = 4096

// prefixCache holds the most recently used prefix blocks and the log of its changes. It is guarded by the engine's
// mutex.
type prefixCache struct {
	blocks *lru.Cache[uint64, struct{}]
	delay  time.Duration
	loss   int
	seq    uint64
	now    time.Time
	events []loggedEvent
}

// loggedEvent is shown only after its time.
type loggedEvent struct {
	engine.CacheEvent
	visible time.Time
}

func newPrefixCache(blocks int, delay time.Duration, loss int) *prefixCache {
	c := &prefixCache{delay: delay, loss: loss}
	c.blocks, _ = lru.NewWithEvict(blocks, func(piece uint64, _ struct{}) { c.log(piece, true) })
	return c
}

// lookup returns how many leading tokens are cached.
func (c *prefixCache) lookup(pieces []uint64) int {
	for i, piece := range pieces {
		if _, found := c.blocks.Get(piece); !found {
			return i * engine.BlockTokens
		}
	}
	return len(pieces) * engine.BlockTokens
}

func (c *prefixCache) store(now time.Time, pieces []uint64) {
	c.now = now
	for _, piece := range pieces {
		if !c.blocks.Contains(piece) {
			c.log(piece, false)
		}
		c.blocks.Add(piece, struct{}{})
	}
}

func (c *prefixCache) log(piece uint64, evicted bool) {
	c.seq++
	if c.loss > 0 && c.seq%uint64(c.loss) == 0 {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Block: piece, Evicted: evicted}
	c.events = append(c.events, loggedEvent{event, c.now.Add(c.delay)})
	c.events = c.events[max(0, len(c.events)-keptEvents):]
}

// after returns the visible events behind a sequence number.
func (c *prefixCache) after(now time.Time, seq uint64) engine.CacheEvents {
	batch := engine.CacheEvents{Last: seq, Events: []engine.CacheEvent{}}
	for _, event := range c.events {
		if event.Seq <= seq || event.visible.After(now) {
			continue
		}
		batch.Lost = batch.Lost || event.Seq != batch.Last+1
		batch.Last = event.Seq
		batch.Events = append(batch.Events, event.CacheEvent)
	}
	return batch
}
