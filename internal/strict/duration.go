package strict

import (
	"reflect"
	"time"
)

// isDuration recognises a time span, such as config.Duration, by its method.
func isDuration(t reflect.Type) bool {
	return t.Kind() == reflect.Int64 && t.Implements(reflect.TypeFor[interface{ D() time.Duration }]())
}

func (d *decoder) duration(n *node, to reflect.Value, path string, r rules) {
	text, ok := n.value.(string)
	span, err := time.ParseDuration(text)
	if !ok || err != nil || !r.contains(float64(span)) {
		d.fault(path, n.text(), r.wantNumber(`a duration such as "1.1s"`))
		return
	}
	to.SetInt(int64(span))
}
