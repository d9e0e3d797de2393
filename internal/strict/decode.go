package strict

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Decode fills the struct that into points to and returns all faults. With a fault, into is not to be used.
func Decode(data []byte, into any) []Fault {
	if fault := syntax(data); fault != nil {
		return []Fault{*fault}
	}
	d := &decoder{}
	d.value(parse(data), reflect.ValueOf(into).Elem(), "", rules{})
	return d.faults
}

func syntax(data []byte) *Fault {
	if !utf8.Valid(data) {
		return &Fault{Value: "bytes that are not UTF-8", Allowed: "JSON in UTF-8"}
	}
	var any json.RawMessage
	err := json.Unmarshal(data, &any)
	if err == nil {
		return nil
	}
	where := ""
	if at, ok := err.(*json.SyntaxError); ok {
		before := string(data[:min(int(at.Offset), len(data))])
		where = fmt.Sprintf("line %d, column %d: ", strings.Count(before, "\n")+1, len(before)-strings.LastIndex(before, "\n")-1)
	}
	return &Fault{Value: where + err.Error(), Allowed: "one JSON value"}
}

type decoder struct {
	faults []Fault
}

func (d *decoder) fault(path, value, allowed string) {
	d.faults = append(d.faults, Fault{Path: path, Value: value, Allowed: allowed})
}

func (d *decoder) value(n *node, to reflect.Value, path string, r rules) {
	if isDuration(to.Type()) {
		d.duration(n, to, path, r)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(n, to, path)
	case reflect.Slice:
		d.list(n, to, path, r)
	case reflect.String:
		text, ok := n.value.(string)
		if !ok || !r.matches(text) {
			d.fault(path, n.text(), r.wantText())
			return
		}
		to.SetString(text)
	case reflect.Bool:
		b, ok := n.value.(bool)
		if !ok {
			d.fault(path, n.text(), "true or false")
			return
		}
		to.SetBool(b)
	case reflect.Int, reflect.Int64:
		number, ok := n.value.(json.Number)
		i, err := strconv.ParseInt(number.String(), 10, 64)
		if !ok || err != nil || !r.contains(float64(i)) {
			d.fault(path, n.text(), r.wantNumber("an integer"))
			return
		}
		to.SetInt(i)
	case reflect.Float64:
		number, ok := n.value.(json.Number)
		f, err := strconv.ParseFloat(number.String(), 64)
		if !ok || err != nil || !r.contains(f) {
			d.fault(path, n.text(), r.wantNumber("a number"))
			return
		}
		to.SetFloat(f)
	default:
		panic("strict: unsupported type " + to.Type().String())
	}
}

func (d *decoder) list(n *node, to reflect.Value, path string, r rules) {
	if !n.list {
		d.fault(path, n.text(), "a list")
		return
	}
	if r.min != nil && float64(len(n.items)) < *r.min {
		d.fault(path, n.text(), r.wantItems())
	}
	items := reflect.MakeSlice(to.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.value(item, items.Index(i), path+"["+strconv.Itoa(i)+"]", rules{format: r.format})
	}
	to.Set(items)
}

func (d *decoder) object(n *node, to reflect.Value, path string) {
	if !n.object {
		d.fault(path, n.text(), "an object")
		return
	}
	fields := fieldsOf(to.Type())
	seen := make(map[string]bool)
	for _, m := range n.members {
		at := join(path, m.name)
		f, known := fields.byName[m.name]
		switch {
		case !known:
			d.fault(at, m.node.text(), "no such field; one of "+strings.Join(fields.names, ", "))
		case seen[m.name]:
			d.fault(at, m.node.text(), "each field once")
		default:
			d.value(m.node, to.Field(f.index), at, f.rules)
		}
		seen[m.name] = true
	}
	for _, name := range fields.names {
		if !seen[name] {
			d.absent(fields.byName[name], to, join(path, name))
		}
	}
}

func (d *decoder) absent(f field, to reflect.Value, path string) {
	if f.rules.required {
		d.fault(path, "", f.rules.want(to.Field(f.index).Type()))
		return
	}
	if err := f.rules.setDefault(to.Field(f.index)); err != nil {
		panic("strict: default of " + path + ": " + err.Error())
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
