package settings

import (
	"reflect"
	"strings"
)

// live are the fields that take effect while a process runs.
var live = map[string]bool{"platform": true}

// NeedsRestart returns the names of the fields that differ and take effect only at the next start.
func (s *Settings) NeedsRestart(next *Settings) []string {
	changed := []string{}
	old, now := reflect.ValueOf(*s), reflect.ValueOf(*next)
	for i := range old.NumField() {
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		if !live[name] && !reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			changed = append(changed, name)
		}
	}
	return changed
}
