package traffic

// MostUrgentPriority returns the priority of the most urgent route to a service: 0 is the highest.
func (t *Table) MostUrgentPriority(service string) int {
	most, found := 0, false
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, share := range r.Split {
			if share.Service == service && (!found || r.Priority < most) {
				most, found = r.Priority, true
			}
		}
	}
	return most
}
