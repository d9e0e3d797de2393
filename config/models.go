package config

// Models is the section of the model team: the engines, the models with their versions, and the policy for roles.
type Models struct {
	// Engines lists the model replicas; IDs are unique over all upstreams and engines.
	Engines []Engine `json:"engines"`
	// Models lists the models that callers may name.
	Models []Model `json:"models"`
	// Roles sets how engine roles follow the demand.
	Roles Roles `json:"roles"`
	// Targets are the limits for an answer that counts as in time.
	Targets Targets `json:"targets"`
}

// Engine is one model replica.
type Engine struct {
	// ID is unique over all upstreams and engines.
	ID string `json:"id"`
	// Address is IP:port.
	Address string `json:"address"`
	// Region and Zone name entries of the network section.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// ChecksFence says that the engine refuses an order with an old fencing number. Default false.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Accelerators is 1 to 64. Default 1.
	Accelerators int `json:"accelerators,omitempty"`
	// Models names the models that the engine shall serve; empty means all.
	Models []string `json:"models,omitempty"`
}

// Model is one model that callers may name.
type Model struct {
	Name string `json:"name"`
	// Version is the exact version that new requests run on.
	Version string `json:"version"`
	// Adapters are names of adapters to load beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// ContextTokens is the longest prompt and answer together; 1,000 to 10,000,000. Default 128,000.
	ContextTokens int `json:"context_tokens,omitempty"`
	// PrefillTokensPerSecond is one engine's rate before it is measured. Default 20,000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// KVBytesPerToken is the size of KV cache. Default 100,000.
	KVBytesPerToken int64 `json:"kv_bytes_per_token,omitempty"`
}

// Roles is the policy for changes of engine roles.
type Roles struct {
	// Automatic lets the system change roles. Default false.
	Automatic bool `json:"automatic,omitempty"`
	// RoleChangeCost is the price of one change, in seconds of one engine's full useful work, on top of the time that
	// the engine is away; 0 to 3,600. A higher price gives fewer changes.
	RoleChangeCost float64 `json:"role_change_cost"`
	// ChangeTime is how long a change takes an engine away; 0s to 10m. Default 5s.
	ChangeTime Duration `json:"change_time,omitempty"`
}

// Targets are the limits for an answer that counts as in time.
type Targets struct {
	// FirstToken is the time to the first token. Default 1.1s.
	FirstToken Duration `json:"first_token,omitempty"`
	// BetweenTokens is the 95th percentile of the time between tokens. Default 55ms.
	BetweenTokens Duration `json:"between_tokens,omitempty"`
}
