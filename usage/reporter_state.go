package usage

// ReporterState is the state of a Reporter for operators. On an instance that does not hold the duties, it is what it knew
// in its last term.
type ReporterState struct {
	Fence   int64         `json:"fence"`
	Known   bool          `json:"known"`
	Windows []WindowState `json:"windows,omitempty"`
}

// WindowState is a decided window.
type WindowState struct {
	Window int64 `json:"window"`
	Bytes  int   `json:"bytes"`
	// Sent is set if this instance sent the report in its term, FailedAttempts counts its failed attempts since then.
	Sent           bool `json:"sent"`
	FailedAttempts int  `json:"failed_attempts"`
}

// State returns the state for operators. It is safe for concurrent use.
func (r *Reporter) State() ReporterState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := ReporterState{Fence: r.fence, Known: r.known}
	for _, d := range r.decided {
		progress := r.sending[d.Window]
		state.Windows = append(state.Windows, WindowState{d.Window, len(d.Body), progress.done, progress.attempts})
	}
	return state
}
