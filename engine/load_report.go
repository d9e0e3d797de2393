package engine

import "time"

// Role says whether an engine prefills, decodes or does both.
type Role string

// The roles of engines.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// LoadedModel is one model that an engine can serve.
type LoadedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// LoadReport is the load that an engine reports for the time At.
type LoadReport struct {
	EngineID string `json:"engine_id"`
	// Epoch changes with each start of the engine process.
	Epoch    string        `json:"epoch"`
	At       time.Time     `json:"at"`
	Role     Role          `json:"role"`
	Models   []LoadedModel `json:"models"`
	Draining bool          `json:"draining,omitempty"`
	// Running counts the requests being decoded, Waiting those not yet started.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens counts prompt tokens not yet processed.
	WaitingTokens int `json:"waiting_tokens"`
	// ArrivalsPerSecond is the recent rate of new requests.
	ArrivalsPerSecond      float64 `json:"arrivals_per_second"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// StepSeconds is the recent time between two tokens of one request.
	StepSeconds float64 `json:"step_seconds"`
	KVUsed      float64 `json:"kv_used"`
	MaxRunning  int     `json:"max_running"`
}
