// Package traffic describes routes, the services that they lead to, workspaces with their keys, and limits. A table is
// immutable once it is in force, so that a request sees one version from its arrival to its end.
package traffic

import "strings"

// Table is one version of the routing table.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces is nil if the configuration has none; requests need no key then.
	Workspaces *Workspaces `json:",omitempty"`
}

// Find returns the route for a host with the longest matching path prefix, or nil.
func (t *Table) Find(host, path string) *Route {
	var found *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host != "" && !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if found == nil || len(r.Prefix) > len(found.Prefix) {
			found = r
		}
	}
	return found
}
