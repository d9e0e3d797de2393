package bench

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"rhubarbpoint/engine"
)

// blockCache simulates the prefix cache of an engine and collects the cache events that the engine would publish.
type blockCache struct {
	blocks  *lru.LRU[uint64, struct{}]
	seq     uint64
	pending []engine.CacheEvent
}

func newBlockCache(size int) *blockCache {
	c := &blockCache{}
	c.reset(size)
	return c
}

// reset evicts all blocks and changes the size of the cache, as a change of role does.
func (c *blockCache) reset(size int) {
	for c.blocks != nil && c.blocks.Len() > 0 {
		c.blocks.RemoveOldest() // evicts in order, unlike Purge
	}
	blocks, err := lru.NewLRU(size, func(block uint64, _ struct{}) { c.addEvent(block, true) })
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.blocks = blocks
}

func (c *blockCache) addEvent(block uint64, evicted bool) {
	c.seq++
	c.pending = append(c.pending, engine.CacheEvent{Seq: c.seq, Block: block, Evicted: evicted})
}

// cached returns the number of leading blocks of a prompt that are in the cache.
func (c *blockCache) cached(hashes []uint64) int {
	for i, hash := range hashes {
		if !c.blocks.Contains(hash) {
			return i
		}
	}
	return len(hashes)
}

// store adds the blocks of a prompt, or marks them as used. The first block becomes the most recently used, so that the
// end of a prefix is evicted before its beginning.
func (c *blockCache) store(hashes []uint64) {
	for _, hash := range slices.Backward(hashes) {
		if !c.blocks.Contains(hash) {
			c.addEvent(hash, false)
		}
		c.blocks.Add(hash, struct{}{})
	}
}
