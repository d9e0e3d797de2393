// Package relay sends an HTTP request to an upstream and reads its response. It does not choose the upstream and does
// not retry; its errors report exactly how far an attempt got.
package relay

import (
	"net/http"
	"time"

	"rhubarbpoint/traffic"
)

// Call is a caller's request in the form in which it is forwarded.
type Call struct {
	ID string
	// Method and Target are the unchanged method and request target of the caller's request line.
	Method string
	Target string
	// Host is the caller's Host header; empty means the address of the replica.
	Host string
	// Header holds the fields to forward, without those that apply to one connection or that only this system may set.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Prompt   Prompt
	// LastEventID is the ID of the last event of the stream that the caller has received, or -1.
	LastEventID int64
	// Resumes is the ID of the request that brought the first event of the stream, or empty if the caller does not say.
	Resumes string
	// Key is the caller's API key; only its hash is kept.
	Key traffic.Key
	// Workspace is the name of the caller's workspace, which each attempt passes on, or empty.
	Workspace string
}

// Prompt describes the prompt of a generation; it is empty for other requests.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Segments are the segments of the prompt in order. Requests with equal leading segments can share their KV cache.
	Segments []PromptSegment
}

// SharedSegments returns the segments that other requests can share: all but the last one, which belongs to one request
// or session.
func (p *Prompt) SharedSegments() []PromptSegment { return p.Segments[:max(0, len(p.Segments)-1)] }

// PromptSegment is a segment of a prompt. Its ID is derived from its content.
type PromptSegment struct {
	ID     uint64
	Tokens int
}
