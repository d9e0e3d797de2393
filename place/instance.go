package place

// Instance is one of the instances that send requests to the replicas.
type Instance struct{ ID, Region, Zone string }
