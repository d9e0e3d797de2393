// Package soak injects faults into a fleet of real processes on loopback and checks, from the view of callers and
// replicas, that the product keeps its guarantees. A seed determines several schedules of faults, which run
// concurrently.
//
// Entry instances and the store are separate processes, replicas run in this one. Each connection of an instance to the
// store, a peer or a replica passes through a faultproxy.Link. Clocks are not shifted; package stages tests the holder
// of the stage authority against that.
package soak
