package entry

import (
	"time"

	"rhubarbpoint/traffic"
)

// keyVerdict is the result of judgeKey.
type keyVerdict int

const (
	// keyAccepted admits the request.
	keyAccepted keyVerdict = iota
	// keyRefused refuses a request without a key or with a key that no workspace has.
	keyRefused
	// keyUnjudged refuses a request because the routes known here are too old to judge its key.
	keyUnjudged
)

// knowledge says how old the routes known to an instance may be, and how old they are.
type knowledge struct {
	// limit is the age from which keys are not judged; 0 means that the age does not matter.
	limit time.Duration
	// age is the time since the store has certainly still had these routes; it counts only if confirmed.
	age       time.Duration
	confirmed bool
}

// tooOld reports whether the routes are too old to judge a key.
func (k knowledge) tooOld() bool { return k.limit > 0 && (!k.confirmed || k.age >= k.limit) }

// judgeKey decides whether a request may run, and in which workspace. It answers the load of keys that are revoked or
// added while an instance is cut off, frozen or turned away by the store: such an instance accepts keys for as long as the
// routes it knows can be in force, and then neither accepts nor refuses them. Requests to public routes and
// configurations without workspaces are not affected by the age.
func judgeKey(table *traffic.Table, route *traffic.Route, key traffic.Key, known knowledge) (traffic.Workspace, keyVerdict) {
	workspace, found := table.Workspaces.Find(key)
	return judgeWorkspace(table, route, workspace, found, known)
}

// judgeWorkspace is judgeKey for a key that has been looked up.
func judgeWorkspace(table *traffic.Table, route *traffic.Route, workspace traffic.Workspace, found bool, known knowledge) (traffic.Workspace, keyVerdict) {
	switch {
	case table.Workspaces == nil || route.Public:
		return workspace, keyAccepted
	case known.tooOld():
		return traffic.Workspace{}, keyUnjudged
	case !found:
		return traffic.Workspace{}, keyRefused
	}
	return workspace, keyAccepted
}

const (
	// revokeMargin is the part of RevokeWithin that is kept in reserve. Clocks of two machines that differ by 0.1 % and the
	// milliseconds of the messages add up to 10 ms for the usual 5 s, and a store may end its waits a timer tick early. A
	// larger margin would refuse keys sooner after a cut than callers have to expect.
	revokeMargin = 150 * time.Millisecond
	// minRevokeShare is the share of a short RevokeWithin that is used in any case.
	minRevokeShare = 0.5
)

// maxAge returns the age of the routes from which keys are not judged, for a time within which keys are revoked.
func maxAge(revokeWithin time.Duration) time.Duration {
	return max(revokeWithin-revokeMargin, time.Duration(minRevokeShare*float64(revokeWithin)))
}

// priorityOf returns the priority of a request.
func priorityOf(route *traffic.Route, workspace traffic.Workspace) int {
	if workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}
