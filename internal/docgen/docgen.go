// Package docgen generates docs/configuration.md from the doc comments and the struct tags of packages config and
// settings, so that the reference cannot differ from what is decoded.
package docgen

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/strict"
)

const intro = `# Configuration

This page is generated from the doc comments of packages ` + "`config` and `settings`" + `; change it there and run
` + "`go test ./internal/docgen -update`" + `.

Both files are JSON. Names are matched exactly. An unknown field, a wrong type, null, a value out of range, a duplicate
and a reference to an unknown name are refused; all faults are reported at once, and no part of a refused file takes
effect.
Durations are strings such as "1.1s", "55ms" or "2m". Fields are optional unless they are marked as required.
The format of a list of strings applies to each of them.
`

// Page returns the page for the repository at root.
func Page(root string) ([]byte, error) {
	var page bytes.Buffer
	page.WriteString(intro)
	for _, part := range []struct{ dir, top, title, text string }{
		{"config", "Document", "The document", "All instances share one document, which the store holds. Each team edits its own section."},
		{"settings", "Settings", "Settings of an instance", "Each instance has its own file, named by `serve -settings`."},
	} {
		types, err := parseTypes(filepath.Join(root, part.dir))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&page, "\n## %s\n\n%s\n", part.title, part.text)
		if err := types.writeType(&page, part.top, map[string]bool{}); err != nil {
			return nil, err
		}
	}
	return page.Bytes(), nil
}

// structType is a struct type with its doc comment and the fields that are decoded.
type structType struct {
	doc    string
	fields []*field
}

type structTypes map[string]*structType

func parseTypes(dir string) (structTypes, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	types := make(structTypes)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		types.addFile(file)
	}
	return types, nil
}

func (types structTypes) addFile(file *ast.File) {
	for _, decl := range file.Decls {
		general, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range general.Specs {
			if spec, ok := spec.(*ast.TypeSpec); ok {
				if body, ok := spec.Type.(*ast.StructType); ok {
					types[spec.Name.Name] = &structType{doc: general.Doc.Text(), fields: fieldsOf(body)}
				}
			}
		}
	}
}

func fieldsOf(body *ast.StructType) []*field {
	var all []*field
	for _, f := range body.Fields.List {
		if f.Tag == nil || len(f.Names) == 0 {
			continue
		}
		text, _ := strconv.Unquote(f.Tag.Value)
		tag := reflect.StructTag(text)
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		if name != "" && name != "-" {
			all = append(all, &field{goName: f.Names[0].Name, name: name, tag: tag, doc: oneLine(f.Doc.Text()), expr: f.Type})
		}
	}
	return all
}

// writeType writes a type and, after it, the types of its fields, unless written has them. It adds their names to
// written.
func (types structTypes) writeType(page *bytes.Buffer, name string, written map[string]bool) error {
	t := types[name]
	if t == nil || written[name] {
		return nil
	}
	written[name] = true
	fmt.Fprintf(page, "\n### %s\n\n%s\n\n| field | type | meaning |\n| --- | --- | --- |\n", name, types.useJSONNames(oneLine(t.doc)))
	for _, f := range t.fields {
		if err := f.checkDoc(name); err != nil {
			return err
		}
		meaning := types.useJSONNames(f.doc)
		if f.tag.Get("required") == "true" {
			meaning = "Required. " + meaning
		}
		if format := f.tag.Get("format"); format != "" {
			meaning += " Format: " + strict.FormatDescription(format) + "."
		}
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", f.name, f.typeName(), strings.ReplaceAll(meaning, "|", "\\|"))
	}
	for _, f := range t.fields {
		if err := types.writeType(page, f.elementType(), written); err != nil {
			return err
		}
	}
	return nil
}

// useJSONNames replaces the Go names of fields by their JSON names, which operators use.
func (types structTypes) useJSONNames(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		bare := strings.Trim(word, ".,;:()")
		for _, t := range types {
			for _, f := range t.fields {
				// This also replaces a word such as "Name" at the start of a sentence.
				if bare == f.goName && bare != "" {
					words[i] = strings.Replace(word, bare, "`"+f.name+"`", 1)
				}
			}
		}
	}
	return strings.Join(words, " ")
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

var errUndocumented = errors.New("docgen: doc comment of a field does not match its struct tags")
