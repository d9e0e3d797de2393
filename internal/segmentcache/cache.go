// Package segmentcache models the prefix cache of a model replica: an LRU cache of prompt segments, limited by their
// tokens.
package segmentcache

import (
	"container/list"

	"rhubarbpoint/relay"
)

// Cache holds the most recently used prompt segments. It is not safe for concurrent use.
type Cache struct {
	capacity int // tokens
	used     int
	byID     map[uint64]*list.Element
	order    *list.List // of relay.PromptSegment, the most recently used first
}

// New returns an empty cache with a capacity in tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, byID: make(map[uint64]*list.Element), order: list.New()}
}

// CachedTokens returns the number of tokens at the beginning of the prompt that are cached.
func (c *Cache) CachedTokens(segments []relay.PromptSegment) int {
	tokens := 0
	for _, segment := range segments {
		if c.byID[segment.ID] == nil {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// Add adds the segments of a processed prompt or marks them as used, and evicts the least recently used segments above
// the capacity.
func (c *Cache) Add(segments []relay.PromptSegment) {
	// The first segment is shared by the most requests, so it becomes the most recently used.
	for i := len(segments) - 1; i >= 0; i-- {
		segment := segments[i]
		if e := c.byID[segment.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[segment.ID] = c.order.PushFront(segment)
		c.used += segment.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		e := c.order.Back()
		segment := c.order.Remove(e).(relay.PromptSegment)
		delete(c.byID, segment.ID)
		c.used -= segment.Tokens
	}
}
