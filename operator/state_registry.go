package operator

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// StateRegistry holds the functions that return the states of the parts of a process. It is safe for concurrent use.
type StateRegistry struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewStateRegistry returns an empty registry.
func NewStateRegistry() *StateRegistry { return &StateRegistry{parts: make(map[string]func() any)} }

// Register adds a part, such as "config/manager". The function returns a value that encoding/json can write and that
// is not modified afterwards; it is called concurrently. A part that is registered later replaces one of the same name.
func (r *StateRegistry) Register(part string, dump func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[part] = dump
}

// Dump returns the states of all parts by name, or only that of the named part if part is not empty.
func (r *StateRegistry) Dump(part string) (map[string]any, error) {
	r.mu.Lock()
	chosen := make(map[string]func() any)
	var names []string
	for name, dump := range r.parts {
		names = append(names, name)
		if part == "" || part == name {
			chosen[name] = dump
		}
	}
	r.mu.Unlock()
	if part != "" && len(chosen) == 0 {
		slices.Sort(names)
		return nil, errors.Newf("no part %q; parts are %s", part, strings.Join(names, ", "))
	}
	// A dump function takes locks of its part, so the registry's lock must not be held.
	states := make(map[string]any, len(chosen))
	for name, dump := range chosen {
		states[name] = dump()
	}
	return states, nil
}
