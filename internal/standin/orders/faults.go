package orders

import (
	"encoding/json"
	"net/http"
)

// Faults are the injected faults. POST /admin/faults sets them; each call replaces all of them.
type Faults struct {
	// BreakBefore and BreakAfter are the numbers of calls whose connection is broken before or after execution.
	BreakBefore int `json:"break_before,omitempty"`
	BreakAfter  int `json:"break_after,omitempty"`
	// DelayMillis is the time between the execution of a booking and its response.
	DelayMillis int `json:"delay_millis,omitempty"`
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}
