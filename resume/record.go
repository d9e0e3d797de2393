package resume

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// retiringPrefix begins the names under which the encoding lists the versions of a service that are about to be removed.
// Earlier releases take them for further services, whose versions they drop.
const retiringPrefix = "retiring/"

// record is what the store has: the versions of each service that may have open streams. A nil record is unknown.
type record struct {
	// versions are sorted.
	versions map[string][]string
	// retiring holds a mark for each version that is about to be removed. A version that was marked anew has another mark.
	retiring map[serviceVersion]string
}

func newRecord() *record {
	return &record{versions: make(map[string][]string), retiring: make(map[serviceVersion]string)}
}

// has reports whether a version is recorded, also if it is about to be removed.
func (r *record) has(v serviceVersion) bool {
	return r != nil && slices.Contains(r.versions[v.service], v.version)
}

// isUsable reports whether a stream can begin at a version by the record.
func (r *record) isUsable(v serviceVersion) bool { return r.has(v) && r.retiring[v] == "" }

// add adds a version, with a mark if it is about to be removed.
func (r *record) add(v serviceVersion, mark string) {
	all := r.versions[v.service]
	if at, found := slices.BinarySearch(all, v.version); !found {
		r.versions[v.service] = slices.Insert(all, at, v.version)
	}
	if mark != "" {
		r.retiring[v] = mark
	}
}

// all returns all recorded versions.
func (r *record) all() []serviceVersion {
	if r == nil {
		return nil
	}
	var all []serviceVersion
	for service, versions := range r.versions {
		for _, version := range versions {
			all = append(all, serviceVersion{service, version})
		}
	}
	return all
}

func (r *record) equal(other *record) bool {
	return maps.EqualFunc(r.versions, other.versions, slices.Equal) && maps.Equal(r.retiring, other.retiring)
}

// MarshalJSON implements json.Marshaler: an object of lists, such as {"model":["v1","v2"],"retiring/model":["v1 5f"]}.
func (r *record) MarshalJSON() ([]byte, error) {
	lists := maps.Clone(r.versions)
	for v, mark := range r.retiring {
		name := retiringPrefix + v.service
		lists[name] = append(lists[name], v.version+" "+mark)
		slices.Sort(lists[name])
	}
	return json.Marshal(lists)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *record) UnmarshalJSON(data []byte) error {
	var lists map[string][]string
	if err := json.Unmarshal(data, &lists); err != nil {
		return err
	}
	*r = *newRecord()
	for name, list := range lists {
		service, retiring := strings.CutPrefix(name, retiringPrefix)
		for _, entry := range list {
			if !retiring {
				r.add(serviceVersion{service, entry}, "")
				continue
			}
			end := strings.LastIndexByte(entry, ' ')
			if end < 0 || end == len(entry)-1 {
				return fmt.Errorf("resume: mark %q of service %q", entry, service)
			}
			r.retiring[serviceVersion{service, entry[:end]}] = entry[end+1:]
		}
	}
	maps.DeleteFunc(r.retiring, func(v serviceVersion, _ string) bool { return !r.has(v) })
	return nil
}
