package place

import (
	"container/list"

	"rhubarbpoint/relay"
)

// prefixes estimates which prompt parts a replica has cached: those that it processed last, as far as its memory goes.
// Requests of other instances are not seen, so the estimate is wrong at times; it is only used to compare replicas.
type prefixes struct {
	capacity int // tokens
	used     int
	byID     map[uint64]*list.Element
	order    *list.List // of relay.Part, the most recently used first
}

func newPrefixes(capacity int) *prefixes {
	return &prefixes{capacity: capacity, byID: make(map[uint64]*list.Element), order: list.New()}
}

// cached returns the number of tokens at the beginning of the prompt that need not be processed again.
func (p *prefixes) cached(parts []relay.Part) int {
	tokens := 0
	for _, part := range parts {
		if p.byID[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes that a prompt was processed.
func (p *prefixes) use(parts []relay.Part) {
	// The first part is used by the most requests, so it becomes the newest.
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := p.byID[part.ID]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.byID[part.ID] = p.order.PushFront(part)
		p.used += part.Tokens
	}
	for p.used > p.capacity && p.order.Len() > 0 {
		e := p.order.Back()
		part := p.order.Remove(e).(relay.Part)
		delete(p.byID, part.ID)
		p.used -= part.Tokens
	}
}
