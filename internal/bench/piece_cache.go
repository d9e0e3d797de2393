package bench

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"rhubarbpoint/engine"
)

// pieceCache is the prefix cache of an engine, with the events that it would publish.
type pieceCache struct {
	pieces  *lru.LRU[uint64, struct{}]
	seq     uint64
	pending []engine.CacheEvent
}

func newPieceCache(size int) *pieceCache {
	c := &pieceCache{}
	c.reset(size)
	return c
}

// reset empties the cache and gives it another size, as a change of role does.
func (c *pieceCache) reset(size int) {
	for c.pieces != nil && c.pieces.Len() > 0 {
		c.pieces.RemoveOldest() // in order, unlike Purge
	}
	pieces, err := lru.NewLRU(size, func(piece uint64, _ struct{}) { c.event(piece, true) })
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.pieces = pieces
}

func (c *pieceCache) event(piece uint64, evicted bool) {
	c.seq++
	c.pending = append(c.pending, engine.CacheEvent{Seq: c.seq, Block: piece, Evicted: evicted})
}

// cached returns the number of leading pieces in the cache.
func (c *pieceCache) cached(pieces []uint64) int {
	for i, piece := range pieces {
		if !c.pieces.Contains(piece) {
			return i
		}
	}
	return len(pieces)
}

// store adds the pieces of a prompt, or marks them as used. The first pieces count as used last, since the ends of
// prefixes are evicted before their beginnings.
func (c *pieceCache) store(pieces []uint64) {
	for _, piece := range slices.Backward(pieces) {
		if !c.pieces.Contains(piece) {
			c.event(piece, false)
		}
		c.pieces.Add(piece, struct{}{})
	}
}
