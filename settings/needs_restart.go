package settings

import (
	"reflect"
	"strings"
)

// reloadable holds the fields whose changes take effect without a restart.
var reloadable = map[string]bool{"platform": true}

// NeedsRestart returns the names of the fields that differ in next and whose changes take effect only after a restart.
func (s *Settings) NeedsRestart(next *Settings) []string {
	changed := []string{}
	old, now := reflect.ValueOf(*s), reflect.ValueOf(*next)
	for i := range old.NumField() {
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		if !reloadable[name] && !reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			changed = append(changed, name)
		}
	}
	return changed
}
