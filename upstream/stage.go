package upstream

// Stage is the part of LLM inference that a model replica of the platform's list performs. The engines of the
// configuration document have an engine.Role instead.
type Stage int

// Stages of model replicas.
const (
	// Whole replicas prefill and decode.
	Whole Stage = iota
	// Prefill replicas only process prompts. Other replicas decode from their KV caches.
	Prefill
	// Decode replicas generate tokens. They can also process prompts, more slowly than Prefill replicas.
	Decode
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }
