package route

import "time"

// leg is this instance's own in-flight work at one engine: the prefill, the decode, or both.
type leg struct {
	sent          time.Time
	prefillTokens int
	decodes       bool
	answer        float64 // expected answer tokens, 0 if it does not decode
}
