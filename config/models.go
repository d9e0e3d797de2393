package config

import "slices"

// Models is the section of the model team: the engines, the models with their versions, and the policy for roles.
type Models struct {
	// Engines lists the model replicas; IDs are unique over all upstreams and engines.
	Engines []Engine `json:"engines,omitempty"`
	// Models lists the models that callers may name. Names are unique.
	Models []Model `json:"models,omitempty"`
	// Roles is the policy by which engine roles follow the demand.
	Roles Roles `json:"roles"`
	// Targets are the latency limits within which a response counts as in time.
	Targets Targets `json:"targets"`
}

// Engine is one model replica.
type Engine struct {
	// ID is unique over all upstreams and engines.
	ID string `json:"id" required:"true" format:"label"`
	// Address is IP:port, unique over all upstreams and engines: an engine with two IDs could get conflicting orders.
	Address string `json:"address" required:"true" format:"addrport"`
	// Region names a region of the network section.
	Region string `json:"region" required:"true" format:"name"`
	// Zone names a zone of that region.
	Zone string `json:"zone" required:"true" format:"name"`
	// ChecksFence declares that the engine refuses orders with an outdated fencing token. Default false.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Accelerators is the number of accelerators; 1 to 64. Default 1.
	Accelerators int `json:"accelerators,omitempty" default:"1" min:"1" max:"64"`
	// Models names the models that the engine is to serve; empty means all.
	Models []string `json:"models,omitempty"`
}

// Model is one model that callers may name.
type Model struct {
	// Name is unique.
	Name string `json:"name" required:"true" format:"label"`
	// Version is the exact version that new requests run on.
	Version string `json:"version" required:"true" format:"label"`
	// PreviousVersion keeps an older version in service while the engines load Version one after another: new requests
	// are divided between the two by the number of engines that serve each. Remove it when all engines serve Version.
	PreviousVersion string `json:"previous_version,omitempty" format:"label"`
	// Adapters are the names of the adapters to load with the model, each once.
	Adapters []string `json:"adapters,omitempty" format:"label"`
	// ContextTokens is the maximum length of prompt and output together; 1,000 to 10,000,000. Default 128,000.
	ContextTokens int `json:"context_tokens,omitempty" default:"128000" min:"1000" max:"10000000"`
	// PrefillTokensPerSecond is the prefill speed that is assumed for one engine until it is measured; 1 to 10,000,000.
	// Default 20,000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty" default:"20000" min:"1" max:"10000000"`
	// KVBytesPerToken is the size of the KV cache of one token; 1 to 100,000,000. Default 100,000.
	KVBytesPerToken int64 `json:"kv_bytes_per_token,omitempty" default:"100000" min:"1" max:"100000000"`
}

// Versions returns the versions of the model that engines are to serve, the newer one first.
func (m *Model) Versions() []string {
	if m.PreviousVersion == "" {
		return []string{m.Version}
	}
	return []string{m.Version, m.PreviousVersion}
}

// VersionNames returns the sorted list of the name@version of all models. Load records refer to a model by its index in
// this list.
func (m *Models) VersionNames() []string {
	var names []string
	for i := range m.Models {
		for _, version := range m.Models[i].Versions() {
			names = append(names, m.Models[i].Name+"@"+version)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Roles is the policy for changes of engine roles.
type Roles struct {
	// Automatic lets the system change roles. Default false.
	Automatic bool `json:"automatic,omitempty"`
	// RoleChangeCost is the cost of one role change, in seconds of one engine's full useful work, in addition to the time
	// that the engine is unavailable; 0 to 3,600. A higher cost results in fewer changes. Default 0.
	RoleChangeCost float64 `json:"role_change_cost" default:"0" min:"0" max:"3600"`
	// ChangeTime is how long an engine is unavailable during a role change; 0s to 10m. Default 5s.
	ChangeTime Duration `json:"change_time" default:"5s" min:"0s" max:"10m"`
}

// Targets are the latency limits within which a response counts as in time.
type Targets struct {
	// FirstToken is the time to the first token; 1ms to 10m. Default 1.1s.
	FirstToken Duration `json:"first_token,omitempty" default:"1.1s" min:"1ms" max:"10m"`
	// BetweenTokens is the 95th percentile of the time between tokens; 1ms to 1m. Default 55ms.
	BetweenTokens Duration `json:"between_tokens,omitempty" default:"55ms" min:"1ms" max:"1m"`
}
