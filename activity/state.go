package activity

import "time"

// State is the state of an Exchange for operators.
type State struct {
	Needed     bool     `json:"needed"`
	Collectors []string `json:"collectors"`
	// Processes are those whose reports this instance has, with the age of the last one.
	Processes []ProcessState `json:"processes,omitempty"`
}

// ProcessState is the last report of a process.
type ProcessState struct {
	Instance  string `json:"instance"`
	Sequence  uint64 `json:"sequence"`
	AgeMillis int64  `json:"age_ms"`
	Windows   int    `json:"windows"`
}

// State returns the state for operators.
func (e *Exchange) State(now time.Time) State {
	return State{Needed: e.opts.Needed(), Collectors: e.collectors(now), Processes: e.opts.Collector.state(now)}
}
