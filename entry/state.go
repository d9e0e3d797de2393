package entry

import (
	"time"

	"rhubarbpoint/memory"
	"rhubarbpoint/suspect"
)

// State is the server's part of the state dump.
type State struct {
	InFlight     []InFlightRequest      `json:"in_flight"`
	RetryBalance float64                `json:"retry_balance"`
	Ejected      map[string]time.Time   `json:"ejected"`
	Suspects     []suspect.State        `json:"suspects"`
	Segments     []suspect.SegmentState `json:"segments"`
	Memory       memory.State           `json:"memory"`
}

// State returns the requests in flight, the balance of the retry budget, the ejected upstreams, the suspect requests and
// the prompt segments that are blamed for crashes, and the bytes that are held.
func (s *Server) State(now time.Time) State {
	return State{
		InFlight: s.inFlightRequests.all(), RetryBalance: s.opts.Budget.Balance(),
		Ejected: s.opts.Health.Ejected(now), Suspects: s.opts.Suspects.State(now),
		Segments: s.opts.Segments.State(now), Memory: s.opts.Memory.State(now),
	}
}
