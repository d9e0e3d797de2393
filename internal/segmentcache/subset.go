package segmentcache

import "rhubarbpoint/relay"

// Subset returns a copy of the cache that holds only the given segments of it. CachedTokens returns the same for them.
func (c *Cache) Subset(segments []relay.PromptSegment) *Cache {
	subset := New(c.capacity)
	for _, segment := range segments {
		if e := c.byID[segment.ID]; e != nil && subset.byID[segment.ID] == nil {
			subset.byID[segment.ID] = subset.order.PushBack(e.Value)
			subset.used += e.Value.(relay.PromptSegment).Tokens
		}
	}
	return subset
}
