package traffic

import "time"

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one replica accepts from all instances.
	MaxConnections int
	// Engine is set for services of model replicas.
	Engine *Engine
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is the number of requests that a replica processes in one batch.
	Slots int
	// KVTokens is the memory of a replica in tokens, shared by running requests and cached prompt parts.
	KVTokens int
	// KVTokenBytes is the size of one token's KV cache.
	KVTokenBytes int64
	// LinkMbps is the bandwidth for KV cache between replicas, in Mbit/s.
	LinkMbps float64
	// HandleTTL is how long a replica keeps the KV cache of a prompt that was processed for another replica.
	HandleTTL time.Duration
}
