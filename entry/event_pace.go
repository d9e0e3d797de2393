package entry

import "time"

// eventPace measures the time between the events of one attempt's stream.
type eventPace struct {
	first, last time.Time
	// events is the number of events after those that arrived first.
	events int
}

// record records that some events arrived.
func (p *eventPace) record(now time.Time, events int) {
	switch {
	case events == 0:
	case p.first.IsZero():
		p.first, p.last = now, now
	default:
		p.events, p.last = p.events+events, now
	}
}

// took returns the time that the events after the first ones took.
func (p *eventPace) took() time.Duration { return p.last.Sub(p.first) }
