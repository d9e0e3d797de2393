package strict

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Decode decodes data into the struct that into points to and returns all faults. If there are any, into must not be
// used.
func Decode(data []byte, into any) []Fault {
	if fault := checkSyntax(data); fault != nil {
		return []Fault{*fault}
	}
	d := &decoder{}
	d.value(parse(data), reflect.ValueOf(into).Elem(), "", rules{})
	return d.faults
}

func checkSyntax(data []byte) *Fault {
	if !utf8.Valid(data) {
		return &Fault{Value: "bytes that are not UTF-8", Allowed: "JSON in UTF-8"}
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return nil
	}
	position := ""
	if syntaxErr, ok := err.(*json.SyntaxError); ok {
		before := string(data[:min(int(syntaxErr.Offset), len(data))])
		position = fmt.Sprintf("line %d, column %d: ", strings.Count(before, "\n")+1, len(before)-strings.LastIndex(before, "\n")-1)
	}
	return &Fault{Value: position + err.Error(), Allowed: "one JSON value"}
}

type decoder struct {
	faults []Fault
}

func (d *decoder) addFault(path, value, allowed string) {
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
			d.addFault(path, n.text(), r.wantText())
			return
		}
		to.SetString(text)
	case reflect.Bool:
		b, ok := n.value.(bool)
		if !ok {
			d.addFault(path, n.text(), "true or false")
			return
		}
		to.SetBool(b)
	case reflect.Int, reflect.Int64:
		number, ok := n.value.(json.Number)
		i, err := strconv.ParseInt(number.String(), 10, 64)
		if !ok || err != nil || !r.inRange(float64(i)) {
			d.addFault(path, n.text(), r.wantNumber("an integer"))
			return
		}
		to.SetInt(i)
	case reflect.Float64:
		number, ok := n.value.(json.Number)
		f, err := strconv.ParseFloat(number.String(), 64)
		if !ok || err != nil || !r.inRange(f) {
			d.addFault(path, n.text(), r.wantNumber("a number"))
			return
		}
		to.SetFloat(f)
	default:
		panic("strict: unsupported type " + to.Type().String())
	}
}

func (d *decoder) list(n *node, to reflect.Value, path string, r rules) {
	if !n.list {
		d.addFault(path, n.text(), "a list")
		return
	}
	if r.min != nil && float64(len(n.items)) < *r.min {
		d.addFault(path, n.text(), r.wantItems())
	}
	items := reflect.MakeSlice(to.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.value(item, items.Index(i), path+"["+strconv.Itoa(i)+"]", rules{format: r.format})
	}
	to.Set(items)
}

func (d *decoder) object(n *node, to reflect.Value, path string) {
	if !n.object {
		d.addFault(path, n.text(), "an object")
		return
	}
	fields := fieldsOf(to.Type())
	seen := make(map[string]bool)
	for _, m := range n.members {
		memberPath := join(path, m.name)
		f, known := fields.byName[m.name]
		switch {
		case !known:
			d.addFault(memberPath, m.node.text(), "no such field; one of "+strings.Join(fields.names, ", "))
		case seen[m.name]:
			d.addFault(memberPath, m.node.text(), "each field once")
		default:
			d.value(m.node, to.Field(f.index), memberPath, f.rules)
		}
		seen[m.name] = true
	}
	for _, name := range fields.names {
		if !seen[name] {
			d.handleAbsent(fields.byName[name], to, join(path, name))
		}
	}
}

func (d *decoder) handleAbsent(f field, to reflect.Value, path string) {
	if f.rules.required {
		d.addFault(path, "", f.rules.want(to.Field(f.index).Type()))
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
