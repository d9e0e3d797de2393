package traffic

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// Engine describes the replicas of a model service. It is nil for plain services.
	Engine *Engine
	// Scaling says how many replicas may be ordered. It is nil if the number of replicas is not to be changed.
	Scaling *Scaling
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is the number of batch slots of a replica.
	Slots int
	// KVTokens is the size of a replica's KV cache in tokens, shared by running requests and cached prompt segments.
	KVTokens int
}
