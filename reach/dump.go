package reach

import (
	"slices"
	"time"
)

// Dump is the part of the state dump about the connectivity of this instance to replicas.
type Dump struct {
	Phase Phase `json:"phase"`
	// ConnectedMs and HeardMs are the times since a connection was opened and since anything arrived, -1 if never.
	ConnectedMs int64 `json:"connected_ms"`
	HeardMs     int64 `json:"heard_ms"`
	// Failed are the addresses that failed since the last success.
	Failed []string `json:"failed"`
	// IsolatedMs is how long the phase has been Isolated.
	IsolatedMs int64 `json:"isolated_ms"`
}

// Dump returns what is known at a time.
func (t *Tracker) Dump(now time.Time) Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Phase: t.Phase(), ConnectedMs: since(now, t.state.lastConnect), HeardMs: since(now, t.state.lastHeard), Failed: []string{}}
	for address := range t.state.failed {
		d.Failed = append(d.Failed, address)
	}
	slices.Sort(d.Failed)
	if !t.state.isolatedSince.IsZero() {
		d.IsolatedMs = since(now, t.state.isolatedSince)
	}
	return d
}

// since returns the milliseconds since at, -1 if that is zero.
func since(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
