package member

import "time"

// presence is the last sign of life of a member: the highest beat and when it was learned.
type presence struct {
	beat    uint32
	at      time.Time
	dropped bool
}

// hear notes a beat and reports whether it is new.
func (p *presence) hear(beat uint32, now time.Time) bool {
	if beat <= p.beat {
		return false
	}
	p.beat, p.at = beat, now
	return true
}

// expand restores a beat from its lower 8 bits. A member is dropped long before its beat can wrap around.
func (p *presence) expand(low uint8) uint32 {
	return p.beat + uint32(max(int8(low-uint8(p.beat)), 0))
}
