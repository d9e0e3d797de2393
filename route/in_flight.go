package route

import "time"

// inFlightWork is the part of one of this instance's requests that is in flight at an engine: prefill, decode, or both.
type inFlightWork struct {
	sent          time.Time
	prefillTokens int
	decodes       bool
	outputTokens  float64 // expected, 0 if it does not decode
}
