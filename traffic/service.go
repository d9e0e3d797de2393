package traffic

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// Engine is set for services of model replicas.
	Engine *Engine
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is the number of requests that a replica processes in one batch.
	Slots int
	// KVTokens is the memory of a replica in tokens, shared by running requests and cached prompt parts.
	KVTokens int
}
