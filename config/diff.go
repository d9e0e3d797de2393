package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Change is one place in which two documents differ. Old is empty for an added value, New for a removed one.
type Change struct {
	// Path is the path of the value. List items are identified by their keys, such as models.engines[e1].zone, so that
	// an inserted item does not appear as a change of all items after it.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return "+ " + c.Path + ": " + string(c.New)
	case c.New == nil:
		return "- " + c.Path + ": " + string(c.Old)
	}
	return "~ " + c.Path + ": " + string(c.Old) + " -> " + string(c.New)
}

// Diff returns the differences from one document to another, by section and in order of their paths. Versions are not
// compared. A value that is set to its default does not differ from an absent one.
func Diff(from, to *Document) []Change {
	var changes []Change
	for _, section := range Sections() {
		diffValues(section, jsonTree(from.section(section)), jsonTree(to.section(section)), &changes)
	}
	return changes
}

func (d *Document) section(name string) any {
	switch name {
	case "orders":
		return d.Orders
	case "models":
		return d.Models
	case "network":
		return d.Network
	}
	return d.Callers
}

// jsonTree returns the section as decoded JSON: maps, slices, strings, booleans and json.Number.
func jsonTree(section any) any {
	data, err := json.Marshal(section)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "sections can be encoded"))
	}
	var value any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&value); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoded sections can be decoded"))
	}
	return value
}

// diffValues appends the differences between two JSON values, of which either may be absent.
func diffValues(path string, from, to any, changes *[]Change) {
	a, b := children(from), children(to)
	if a == nil || b == nil {
		before, after := encodeValue(from), encodeValue(to)
		if !bytes.Equal(before, after) {
			*changes = append(*changes, Change{Path: path, Old: before, New: after})
		}
		return
	}
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		diffValues(path+name, a[name], b[name], changes)
	}
}

// encodeValue returns the JSON of a value, or nil for an absent one.
func encodeValue(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	data, _ := json.Marshal(value)
	return data
}

// children returns the values in an object, or in a list whose items have distinct keys, by the suffix that they add to
// the path. It returns nil for any other value.
func children(value any) map[string]any {
	parts := make(map[string]any)
	switch value := value.(type) {
	case map[string]any:
		for name, part := range value {
			parts["."+name] = part
		}
	case []any:
		for _, item := range value {
			key := itemKey(item)
			if _, taken := parts[key]; taken {
				return nil
			}
			parts[key] = item
		}
	default:
		return nil
	}
	return parts
}

// keyFields are the sets of fields that can identify an item in its list. The first set that an item has completely is
// its key.
var keyFields = [][]string{{"id"}, {"name"}, {"from", "to"}, {"method", "path"}}

// itemKey returns the key of a list item in brackets, as used in paths; a scalar item is its own key.
func itemKey(item any) string {
	object, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprintf("[%v]", item)
	}
	for _, fields := range keyFields {
		var parts []string
		for _, f := range fields {
			if value, has := object[f]; has {
				parts = append(parts, fmt.Sprint(value))
			}
		}
		if len(parts) == len(fields) {
			return "[" + strings.Join(parts, " ") + "]"
		}
	}
	return "[?]"
}
