package upstream

// Stage is the part of a generation that a model replica performs.
type Stage int

// Stages of model replicas.
const (
	// Whole replicas process prompts and generate tokens.
	Whole Stage = iota
	// Prefill replicas only process prompts, for other replicas to continue.
	Prefill
	// Decode replicas generate tokens. They also process prompts, more slowly than Prefill replicas.
	Decode
)

// String returns the name for logs.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }
