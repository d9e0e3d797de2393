package strict

import (
	"reflect"
	"time"
)

// isDuration reports whether a type is a duration such as config.Duration, which has the method D() time.Duration.
func isDuration(t reflect.Type) bool {
	return t.Kind() == reflect.Int64 && t.Implements(reflect.TypeFor[interface{ D() time.Duration }]())
}

func (d *decoder) duration(n *node, to reflect.Value, path string, r rules) {
	text, ok := n.value.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil || !r.inRange(float64(duration)) {
		d.addFault(path, n.text(), r.wantNumber(`a duration such as "1.1s"`))
		return
	}
	to.SetInt(int64(duration))
}
