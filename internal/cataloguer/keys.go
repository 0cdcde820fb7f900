package cataloguer

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/version/decoder"
)

// typeDocs are the doc comments of a package's types and of their fields, by
// "Type" and "Type.Field".
type typeDocs map[string]string

// readDocs reads the doc comments in a directory.
func readDocs(directory string) (docs typeDocs, err error) {
	defer func() { err = eris.Wrapf(err, "read doc comments in %s", directory) }()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		return nil, err
	}
	docs = typeDocs{}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		ast.Inspect(file, docs.visit)
	}
	return docs, nil
}

// visit adds the type declarations of a node.
func (d typeDocs) visit(node ast.Node) bool {
	group, ok := node.(*ast.GenDecl)
	if !ok || group.Tok != token.TYPE {
		return true
	}
	for _, spec := range group.Specs {
		named := spec.(*ast.TypeSpec)
		d[named.Name.Name] = oneLine(cmp.Or(named.Doc.Text(), group.Doc.Text()))
		fields, ok := named.Type.(*ast.StructType)
		if !ok {
			continue
		}
		for _, field := range fields.Fields.List {
			for _, name := range field.Names {
				d[named.Name.Name+"."+name.Name] = oneLine(cmp.Or(field.Doc.Text(), field.Comment.Text()))
			}
		}
	}
	return true
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// writeKeys writes a table of the keys of a struct type, and one of each type
// below it.
func writeKeys(page *strings.Builder, docs typeDocs, kind reflect.Type, path string) {
	fmt.Fprintf(page, "\n## %s\n\n%s\n\n", cmp.Or(path, "Document"), docs[kind.Name()])
	page.WriteString("| key | value | default | accepted | meaning |\n|---|---|---|---|---|\n")
	type below struct {
		kind reflect.Type
		path string
	}
	var nested []below
	for i := range kind.NumField() {
		field := kind.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", key, valueOf(field.Type), field.Tag.Get("default"),
			acceptedOf(field), docs[kind.Name()+"."+field.Name])
		switch element := elementOf(field.Type); {
		case element == reflect.TypeFor[time.Time]() || element.Kind() != reflect.Struct:
		case field.Type.Kind() == reflect.Slice:
			nested = append(nested, below{element, strings.TrimPrefix(path+"."+key+"[]", ".")})
		default:
			nested = append(nested, below{element, strings.TrimPrefix(path+"."+key, ".")})
		}
	}
	for _, n := range nested {
		writeKeys(page, docs, n.kind, n.path)
	}
}

func elementOf(kind reflect.Type) reflect.Type {
	if kind.Kind() == reflect.Slice {
		return kind.Elem()
	}
	return kind
}

// valueOf names the kind of value that a field takes.
func valueOf(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[time.Duration]():
		return "duration"
	case kind == reflect.TypeFor[time.Time]():
		return "time"
	case kind.Kind() == reflect.Slice:
		return "list"
	case kind.Kind() == reflect.Struct, kind.Kind() == reflect.Map:
		return "mapping"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.Float64:
		return "number"
	case kind.Kind() == reflect.String:
		return "text"
	default:
		return "whole number"
	}
}

func acceptedOf(field reflect.StructField) string {
	tag, _, _ := strings.Cut(field.Tag.Get("validate"), "dive")
	text := decoder.Accepted(tag, field.Type)
	if strings.HasPrefix(tag, "required") {
		text = strings.TrimSuffix("required, "+text, ", ")
	}
	return text
}
