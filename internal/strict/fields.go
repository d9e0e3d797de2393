package strict

import (
	"reflect"
	"strings"
	"sync"
)

// field is a field of a struct that is decoded.
type field struct {
	index int
	rules rules
}

// fields holds the JSON names of the fields of one struct type, in order of declaration, and the fields by name.
type fields struct {
	names  []string
	byName map[string]field
}

var fieldCache sync.Map // reflect.Type to *fields

func fieldsOf(t reflect.Type) *fields {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(*fields)
	}
	all := &fields{byName: make(map[string]field)}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		all.names = append(all.names, name)
		all.byName[name] = field{index: i, rules: parseRules(t.Field(i))}
	}
	fieldCache.Store(t, all)
	return all
}
