package settings

// Zone is one availability zone of the site.
type Zone struct {
	// Name is the name of the zone as replicas state it.
	Name string `json:"name" required:"true" format:"name"`
	// Region is the region that the zone belongs to.
	Region string `json:"region" required:"true" format:"name"`
}

// RegionOf returns the region of an availability zone, or "" for one that is not listed.
func (s *Settings) RegionOf(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}
