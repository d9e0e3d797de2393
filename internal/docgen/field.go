package docgen

import (
	"go/ast"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// field is one field of a struct that takes part in decoding.
type field struct {
	goName string
	name   string
	tag    reflect.StructTag
	doc    string
	expr   ast.Expr
}

// check compares the doc comment with the tags that decoding follows.
func (f *field) check(owner string) error {
	if f.doc == "" {
		return errors.Wrapf(errUndocumented, "%s.%s has no doc comment", owner, f.goName)
	}
	plain := strings.ReplaceAll(f.doc, ",", "")
	if text := f.tag.Get("default"); text != "" && !mentions(plain, "Default "+text) {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, "Default "+text)
	}
	low, high := f.tag.Get("min"), f.tag.Get("max")
	// An upper bound can be that of another field, which the comment then names.
	if low != "" && high != "" && !mentions(plain, low+" to "+high) && !strings.Contains(plain, low+" to Max") {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, low+" to "+high)
	}
	if low == "1" && high == "" && !strings.Contains(strings.ToLower(plain), "at least one") {
		return errors.Wrapf(errUndocumented, "%s.%s does not say %q", owner, f.goName, "at least one")
	}
	return nil
}

// mentions says whether a text has a phrase that does not end within a longer word or number.
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

// typeName is the type in the words of JSON.
func (f *field) typeName() string {
	if list, ok := f.expr.(*ast.ArrayType); ok {
		if inner := identName(list.Elt); inner == "string" {
			return "list of strings"
		}
		return "list of " + link(f.element())
	}
	switch name := f.element(); name {
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
		return link(name)
	}
}

func link(name string) string { return "[" + name + "](#" + strings.ToLower(name) + ")" }

// element is the name of the field's type, or of its items.
func (f *field) element() string {
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
