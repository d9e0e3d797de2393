// Package relay carries one HTTP request to one upstream and brings back its answer. It decides nothing about where a
// request goes or whether it is repeated; it says exactly how far an attempt got.
package relay

import (
	"net/http"
	"time"
)

// Call is a caller's request as it is forwarded.
type Call struct {
	ID string
	// Method and Target are the request line's, unchanged.
	Method string
	Target string
	// Host is the caller's; empty means the address of the replica.
	Host string
	// Header holds the fields to forward. Those that belong to one connection or that only the system may set are gone.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Prompt   Prompt
	// LastEventID is the ID of the last event that the caller has already, or -1.
	LastEventID int64
}

// Prompt describes a generation; it is empty for other requests.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Segments divide the prompt from its beginning. Requests with equal leading parts can share their KV cache.
	Segments []PromptSegment
}

// PromptSegment is a section of a prompt, identified by its content.
type PromptSegment struct {
	ID     uint64
	Tokens int
}
