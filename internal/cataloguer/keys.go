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

// typeDocs holds the doc comments of a package's types and of their fields, by
// "Type" and "Type.Field".
type typeDocs map[string]string

// readDocs returns the doc comments of the types in a directory.
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

// visit adds the doc comments of a node that declares types.
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

// writeKeys writes a table of the keys of a struct type, followed by the tables of
// the struct types nested in it.
func writeKeys(page *strings.Builder, docs typeDocs, typ reflect.Type, path string) {
	fmt.Fprintf(page, "\n## %s\n\n%s\n\n", cmp.Or(path, "Document"), docs[typ.Name()])
	page.WriteString("| key | value | default | accepted | meaning |\n|---|---|---|---|---|\n")
	type nestedType struct {
		typ  reflect.Type
		path string
	}
	var nested []nestedType
	for i := range typ.NumField() {
		field := typ.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", key, valueKind(field.Type), field.Tag.Get("default"),
			acceptedOf(field), docs[typ.Name()+"."+field.Name])
		switch element := elementOf(field.Type); {
		case element == reflect.TypeFor[time.Time]() || element.Kind() != reflect.Struct:
		case field.Type.Kind() == reflect.Slice:
			nested = append(nested, nestedType{element, strings.TrimPrefix(path+"."+key+"[]", ".")})
		default:
			nested = append(nested, nestedType{element, strings.TrimPrefix(path+"."+key, ".")})
		}
	}
	for _, n := range nested {
		writeKeys(page, docs, n.typ, n.path)
	}
}

func elementOf(typ reflect.Type) reflect.Type {
	if typ.Kind() == reflect.Slice {
		return typ.Elem()
	}
	return typ
}

// valueKind names the kind of value that a field of a type takes.
func valueKind(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		return "duration"
	case typ == reflect.TypeFor[time.Time]():
		return "time"
	case typ.Kind() == reflect.Slice:
		return "list"
	case typ.Kind() == reflect.Struct, typ.Kind() == reflect.Map:
		return "mapping"
	case typ.Kind() == reflect.Bool:
		return "true or false"
	case typ.Kind() == reflect.Float64:
		return "number"
	case typ.Kind() == reflect.String:
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
