package route

import "time"

// leg is this instance's own in-flight work at one engine: the prefill, the decode, or both.
type leg struct {
	sent          time.Time
	prefillTokens float64
	decodes       bool
}
