// Package member replicates soft state among the entry instances by gossip: the live members, the upstreams' load
// reports, and which upstreams are leaving. Each instance exchanges messages with a bounded set of peers, so that its
// traffic does not grow with the number of instances.
package member

import "rhubarbpoint/peer/peerpb"

// View is the set of members that this instance considers live. Implementations are safe for concurrent use.
type View interface {
	// Self returns the ID of this process.
	Self() string
	// Live returns the live members, this instance included, in order of their IDs.
	Live() []*peerpb.Member
}
