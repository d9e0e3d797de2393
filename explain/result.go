package explain

import "rhubarbpoint/place"

// Result tells how an instance would serve a request now.
type Result struct {
	// Version is that of the routes in force. Route and Service are empty if the request was refused before they were
	// known.
	Version   int64  `json:"version,omitempty"`
	Route     string `json:"route,omitempty"`
	Service   string `json:"service,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority"`
	// Placement is the choice, Refusal the response to the caller instead of one.
	Placement *Placement `json:"placement,omitempty"`
	Refusal   *Refusal   `json:"refusal,omitempty"`
	// Replicas has a row for each replica of the service.
	Replicas []place.ReplicaEstimate `json:"replicas,omitempty"`
}

// Placement is the choice of replicas.
type Placement struct {
	Replica string `json:"replica"`
	// Prefill is another replica that would process the prompt first.
	Prefill        string  `json:"prefill,omitempty"`
	UncachedTokens int     `json:"uncached_tokens"`
	WaitMs         float64 `json:"wait_ms"`
	FirstByteMs    float64 `json:"first_byte_ms"`
}

// Refusal is an error response.
type Refusal struct {
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Message is what the caller would be told, Reason the error behind it with its figures, if there is one.
	Message string `json:"message"`
	Reason  string `json:"reason,omitempty"`
}
