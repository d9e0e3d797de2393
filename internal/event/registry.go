package event

import (
	"fmt"
	"slices"
	"sync"
)

var registry = newCatalogue()

// catalogue holds all declared events by ID and by name.
type catalogue struct {
	mu     sync.Mutex
	byID   map[int]*Event
	byName map[string]*Event
}

func newCatalogue() *catalogue {
	return &catalogue{byID: make(map[int]*Event), byName: make(map[string]*Event)}
}

func (c *catalogue) add(e *Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, taken := c.byID[e.ID]; taken {
		panic(fmt.Sprintf("event: ID %d declared by both %q and %q", e.ID, other.Name, e.Name))
	}
	if other, taken := c.byName[e.Name]; taken {
		panic(fmt.Sprintf("event: name %q declared by IDs %d and %d", e.Name, other.ID, e.ID))
	}
	c.byID[e.ID] = e
	c.byName[e.Name] = e
}

// All returns the events declared by the packages linked into this program, in order of their IDs.
func All() []*Event {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	all := make([]*Event, 0, len(registry.byID))
	for _, e := range registry.byID {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Event) int { return a.ID - b.ID })
	return all
}
