// Package member keeps soft state between the entry instances: who is there, what the upstreams report, which of them
// are leaving. Each instance talks to a bounded set of peers, so that its traffic stays flat as the fleet grows.
package member

import "rhubarbpoint/peer/peerpb"

// View is the membership as this instance sees it. Implementations are safe for concurrent use.
type View interface {
	// Self returns the ID of this process.
	Self() string
	// Live returns the live members, this instance included, in order of their IDs.
	Live() []*peerpb.Member
}
