// Package simfleet simulates deployments that serve routed requests in virtual time: callers, entry instances, model
// replicas with stages and batches, and plain services. The decisions are made by the product's own code
// (place.Balancer, pipeline.Request, retry.WindowBudget, retry.Health, stages.Plan); the network, the replicas and the
// callers are models. A simulated day takes seconds, so changes to the decision code are tried here first.
//
// The models leave out connections, payload bytes, the store, the CPU time of instances, and every fault except
// replicas that crash or become slow.
package simfleet
