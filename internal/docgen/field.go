package docgen

import (
	"go/ast"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// field is a field of a struct that is decoded.
type field struct {
	goName string
	name   string
	tag    reflect.StructTag
	doc    string
	expr   ast.Expr
}

// checkDoc checks that the doc comment names the default and the bounds of the tags.
func (f *field) checkDoc(owner string) error {
	if f.doc == "" {
		return errors.Wrapf(errUndocumented, "%s.%s has no doc comment", owner, f.goName)
	}
	plain := strings.ReplaceAll(f.doc, ",", "")
	if text := f.tag.Get("default"); text != "" && !mentions(plain, "Default "+text) {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, "Default "+text)
	}
	low, high := f.tag.Get("min"), f.tag.Get("max")
	// The upper bound can depend on another field, whose name starts with "Max" and which the comment then names
	// instead.
	if low != "" && high != "" && !mentions(plain, low+" to "+high) && !strings.Contains(plain, low+" to Max") {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, low+" to "+high)
	}
	if low == "1" && high == "" && !strings.Contains(strings.ToLower(plain), "at least one") {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, "at least one")
	}
	return nil
}

// mentions reports whether a text contains a phrase that does not end inside a longer word or number.
func mentions(text, phrase string) bool {
	for {
		i := strings.Index(text, phrase)
		if i < 0 {
			return false
		}
		text = text[i+len(phrase):]
		rest := strings.TrimLeft(text, ".")
		if rest == "" || strings.ContainsAny(rest[:1], " ;)") {
			return true
		}
	}
}

// typeName describes the type in terms of JSON.
func (f *field) typeName() string {
	if list, ok := f.expr.(*ast.ArrayType); ok {
		if inner := identName(list.Elt); inner == "string" {
			return "list of strings"
		}
		return "list of " + anchorLink(f.elementType())
	}
	switch name := f.elementType(); name {
	case "string":
		return "string"
	case "bool":
		return "true or false"
	case "int", "int64":
		return "integer"
	case "float64":
		return "number"
	case "Duration":
		return "duration"
	default:
		return anchorLink(name)
	}
}

func anchorLink(name string) string { return "[" + name + "](#" + strings.ToLower(name) + ")" }

// elementType is the name of the field's type or, for a list, that of its items.
func (f *field) elementType() string {
	if list, ok := f.expr.(*ast.ArrayType); ok {
		return identName(list.Elt)
	}
	return identName(f.expr)
}

func identName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}
