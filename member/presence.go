package member

import "time"

// presence is the liveness of a member: its highest known beat (its heartbeat counter) and when it became known.
type presence struct {
	beat       uint32
	lastBeatAt time.Time
	dropped    bool
}

// observe updates the presence if the beat is higher than the known one, and reports whether it is.
func (p *presence) observe(beat uint32, now time.Time) bool {
	if beat <= p.beat {
		return false
	}
	p.beat, p.lastBeatAt = beat, now
	return true
}

// expandBeat restores a beat from its lower 8 bits. They suffice as long as the beat is less than 128 above the known
// one; a member is dropped long before that. For a beat that is not above the known one, it returns the known one.
func (p *presence) expandBeat(low uint8) uint32 {
	return p.beat + uint32(max(int8(low-uint8(p.beat)), 0))
}
