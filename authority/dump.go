package authority

import (
	"slices"
	"time"
)

// LeaseHolderDump is the state of a LeaseHolder for operators.
type LeaseHolderDump struct {
	Region  string `json:"region"`
	Holding bool   `json:"holding"`
	Fence   int64  `json:"fence,omitempty"`
	// ValidMillis is the time left until the term ends without another keep-alive.
	ValidMillis int64 `json:"valid_ms,omitempty"`
	// Working lists the engines with an order or a reconciliation in progress.
	Working []string `json:"working,omitempty"`
}

// Dump returns the current state.
func (h *LeaseHolder) Dump() LeaseHolderDump {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := LeaseHolderDump{Region: h.opts.Region}
	for id := range h.reserved {
		d.Working = append(d.Working, id)
	}
	slices.Sort(d.Working)
	if h.term != nil && h.term.valid() {
		d.Holding, d.Fence = true, h.term.fence
		d.ValidMillis = time.Until(h.term.until()).Milliseconds()
	}
	return d
}

// GateDump is the state of a Gate for operators.
type GateDump struct {
	// Engines lists those that got a registration or an order here. This instance may no longer be their gate.
	Engines []string `json:"engines,omitempty"`
	// InFlight lists the engines with an order or a registration in progress.
	InFlight []string `json:"in_flight,omitempty"`
	Stopping bool     `json:"stopping,omitempty"`
}

// Dump returns the current state.
func (g *Gate) Dump() GateDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := GateDump{Stopping: g.stopping}
	for id, e := range g.engines {
		d.Engines = append(d.Engines, id)
		if len(e.lock) > 0 {
			d.InFlight = append(d.InFlight, id)
		}
	}
	slices.Sort(d.Engines)
	slices.Sort(d.InFlight)
	return d
}
