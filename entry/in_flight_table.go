package entry

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// InFlightRequest is a request in flight, for the state dump.
type InFlightRequest struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Engine    string `json:"engine,omitempty"`
	Attempt   int    `json:"attempt"`
	// Delivered counts the tokens that were delivered when the attempt began.
	Delivered int       `json:"delivered"`
	Arrived   time.Time `json:"arrived"`
	Deadline  time.Time `json:"deadline"`
}

// inFlightTable holds the requests in flight by ID. It is safe for concurrent use.
type inFlightTable struct {
	mu   sync.Mutex
	byID map[string]InFlightRequest
}

func (t *inFlightTable) set(r InFlightRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]InFlightRequest)
	}
	t.byID[r.ID] = r
}

func (t *inFlightTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *inFlightTable) all() []InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := make([]InFlightRequest, 0, len(t.byID))
	for _, r := range t.byID {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b InFlightRequest) int { return strings.Compare(a.ID, b.ID) })
	return requests
}
