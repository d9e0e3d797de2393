package member

import (
	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/peer/peerpb"
)

// SelectedByHash reports whether rendezvous hashing over the given members selects self as one of count members of a
// zone for a purpose, such as a task that only some instances do.
func SelectedByHash(members []*peerpb.Member, region, zone, self, purpose string, count int) bool {
	own := xxhash.Sum64String(purpose + "/" + self)
	higher := 0 // members with a higher hash
	for _, m := range members {
		if m.GetRegion() == region && m.GetZone() == zone && xxhash.Sum64String(purpose+"/"+m.GetId()) > own {
			higher++
		}
	}
	return higher < count
}
