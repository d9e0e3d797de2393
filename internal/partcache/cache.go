// Package partcache models the prefix cache of a model replica: the prompt parts that it keeps, as far as its memory goes.
package partcache

import (
	"container/list"

	"rhubarbpoint/relay"
)

// Cache holds the prompt parts that were used last. It is for one goroutine.
type Cache struct {
	capacity int // tokens
	used     int
	byID     map[uint64]*list.Element
	order    *list.List // of relay.Part, the most recently used first
}

// New returns an empty cache for a number of tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, byID: make(map[uint64]*list.Element), order: list.New()}
}

// CachedTokens returns the number of tokens at the beginning of the prompt that need not be processed again.
func (c *Cache) CachedTokens(parts []relay.PromptSegment) int {
	tokens := 0
	for _, part := range parts {
		if c.byID[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// Add notes that a prompt was processed.
func (c *Cache) Add(parts []relay.PromptSegment) {
	// The first part is used by the most requests, so it becomes the newest.
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := c.byID[part.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		e := c.order.Back()
		part := c.order.Remove(e).(relay.PromptSegment)
		delete(c.byID, part.ID)
		c.used -= part.Tokens
	}
}
