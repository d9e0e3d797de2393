// Package strict decodes JSON into structs and reports all faults of the input at once, each with its path, its value
// and what is allowed. encoding/json stops at the first fault, so that an operator needs one try for each mistake.
//
// Struct tags give the rules of a field: `required:"true"`, `default:"5"`, `min:"0"`, `max:"9"` and
// `format:"name"` (see formats). For a list, min is the least number of items, and format applies to each of its
// strings. A field without `required` may be absent and then gets its default. Names are matched exactly; null is not a
// valid value of any type.
package strict

import "fmt"

// Fault is a value of the input that is refused.
type Fault struct {
	// Path is the path of the value, such as models.engines[3].zone. It is empty for the whole input.
	Path string `json:"path"`
	// Value is the refused value in JSON, truncated if long; empty for an absent one.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that are allowed.
	Allowed string `json:"allowed"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "input"
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: missing; want %s", path, f.Allowed)
	}
	return fmt.Sprintf("%s: got %s; want %s", path, f.Value, f.Allowed)
}
