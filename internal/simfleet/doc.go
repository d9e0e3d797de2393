// Package simfleet plays deployments with routed requests in virtual time: callers, entry instances, model replicas with
// stages and batches, and plain services. The decisions are the product's own code (place.Board, pipeline.Request,
// retry.Window, retry.Health, stages.Plan); the network, the replicas and the callers are models. A day takes seconds, so a
// decision is tried here first.
//
// What the models leave out: connections, bytes, the store, the processor time of instances, and every fault except
// replicas that crash or turn slow.
package simfleet
