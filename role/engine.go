package role

import "rhubarbpoint/engine"

// Engine is the reported state of one engine of the planner's region.
type Engine struct {
	ID   string
	Role engine.Role
	// Usable is false while the engine accepts no new requests: it is leaving, excluded for a planned change, failing or
	// not reporting.
	Usable bool
	// Running counts the requests in the batch, Waiting those that have not started. MaxRunning is the largest batch
	// size. WaitingTokens are the prompt tokens of the waiting requests.
	Running       float64
	Waiting       float64
	MaxRunning    float64
	WaitingTokens float64
	// ArrivalRate is the rate of new requests per second, PrefillPerArrival the mean number of prompt tokens to process
	// for one of them.
	ArrivalRate       float64
	PrefillPerArrival float64
	// DecodePerArrival is the mean number of output tokens expected for one request.
	DecodePerArrival float64
	// CachedTokens estimates the prompt tokens in the engine's prefix cache.
	CachedTokens float64
	// PrefillRate is in prompt tokens/s in the engine's current role.
	PrefillRate float64
	// DecodeRate is the output tokens/s of the largest batch whose step time is within the target, StepSeconds the
	// current time between two tokens.
	DecodeRate  float64
	StepSeconds float64
}
