package role

import "rhubarbpoint/engine"

// Engine is what the planner knows of one engine of its region.
type Engine struct {
	ID   string
	Role engine.Role
	// Usable is false while the engine is leaving, withdrawn, not reporting or being changed.
	Usable bool
	// Running counts requests in the batch, Waiting those not started, WaitingTokens their prompt tokens.
	Running       float64
	Waiting       float64
	MaxRunning    float64
	WaitingTokens float64
	// ArrivalRate is the rate of new requests, PrefillPerArrival the mean of prompt tokens to process for one of them.
	ArrivalRate       float64
	PrefillPerArrival float64
	// DecodePerArrival is the mean of expected answer tokens for one request.
	DecodePerArrival float64
	// CachedTokens are the prompt tokens believed to be in its prefix cache.
	CachedTokens float64
	// PrefillRate is in tokens/s in the engine's present role.
	PrefillRate float64
	// DecodeRate is the output tokens/s of the largest batch whose step is within the target, StepSeconds the present
	// time between two tokens.
	DecodeRate  float64
	StepSeconds float64
}
