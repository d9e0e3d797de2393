// Package soak plays faults against a fleet of real processes on loopback and checks from the sides of callers and replicas
// that what the product promises holds. A seed decides the faults and when they come; they overlap and come in series.
//
// Entry instances and the store are separate processes, replicas run in this one, and each connection of an instance passes
// a faultproxy.Link. Clocks are not shifted; the holder of the authority over stages is tested against that in package
// stages.
package soak
