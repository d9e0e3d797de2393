package member

import (
	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/peer/peerpb"
)

// SelectedByHash says whether self is one of the count members of a region's zone that a purpose falls to, by rendezvous hash
// over the given members.
func SelectedByHash(members []*peerpb.Member, region, zone, self, purpose string, count int) bool {
	own := xxhash.Sum64String(purpose + "/" + self)
	higher := 0
	for _, m := range members {
		if m.GetRegion() == region && m.GetZone() == zone && xxhash.Sum64String(purpose+"/"+m.GetId()) > own {
			higher++
		}
	}
	return higher < count
}
