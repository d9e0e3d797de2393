// Package strict decodes JSON into structs and reports every fault of the input at once, with its path, its value and
// what is allowed. encoding/json stops at the first fault, which costs an operator one round for each mistake.
//
// Struct tags give the rules of a field: `required:"true"`, `default:"5"`, `min:"0"`, `max:"9"` and
// `format:"name"` (see formats). For a list, min is the least number of items, and format holds for its strings. A
// field without `required` may be absent and then gets its default. Names are matched exactly; null is no value of any
// type.
package strict

import "fmt"

// Fault is one place of the input that was refused.
type Fault struct {
	// Path names the place, such as models.engines[3].zone. It is empty for the whole input.
	Path string `json:"path"`
	// Value is the refused value in JSON, cut if long; empty for an absent one.
	Value string `json:"value,omitempty"`
	// Allowed says what the place may hold.
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
