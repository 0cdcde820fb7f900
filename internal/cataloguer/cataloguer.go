// Package cataloguer generates reference pages and the table of events from the
// source code: from the constants that declare events and metrics, from the
// types of documents, and from the help of the programs.
package cataloguer

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
)

// An Item is a documented constant that declares an event or a metric.
type Item struct {
	Package string
	// Constant is the constant's Go name.
	Constant string
	// Value is the constant's value: a number, or an unquoted string.
	Value string
	// Text is the doc comment without the constant's name.
	Text string
}

// Number returns the number of an event, or 0 if the value is not a number.
func (i Item) Number() int {
	number, err := strconv.Atoi(i.Value)
	if err != nil {
		return 0
	}
	return number
}

// EventName returns the name of an event in logs and time lines.
func (i Item) EventName() string {
	runes := []rune(strings.TrimPrefix(i.Constant, "Event"))
	runes[0] = unicode.ToLower(runes[0])
	return i.Package + "." + string(runes)
}

// Events returns the events that the files events.go under a directory declare,
// sorted by number.
func Events(root string) ([]Item, error) {
	items, err := scan(root, "events.go", "Number")
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Number(), b.Number()) })
	return items, err
}

// Metrics returns the metrics that the files metrics.go under a directory declare,
// sorted by name.
func Metrics(root string) ([]Item, error) {
	items, err := scan(root, "metrics.go", "Name")
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Value, b.Value) })
	return items, err
}

// scan returns the constants of the type named typ that are declared in the files with a
// given name, such as "events.go", under a directory.
func scan(root, file, typ string) (items []Item, err error) {
	defer func() { err = eris.Wrap(err, "read declared constants") }()
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != file {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		found, err := constants(parsed, typ)
		items = append(items, found...)
		return err
	})
	return items, err
}

func constants(file *ast.File, typ string) ([]Item, error) {
	var items []Item
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			item, ok, err := constant(spec.(*ast.ValueSpec), typ)
			if err != nil {
				return nil, fmt.Errorf("package %s: %w", file.Name.Name, err)
			}
			if ok {
				item.Package = file.Name.Name
				items = append(items, item)
			}
		}
	}
	return items, nil
}

// constant returns the constant that spec declares, or false if the constant is not of
// the type named typ. A constant of that type must have a literal value and a doc comment
// that begins with the constant's name.
func constant(spec *ast.ValueSpec, typ string) (item Item, ok bool, err error) {
	if typeName(spec.Type) != typ {
		return Item{}, false, nil
	}
	name := spec.Names[0].Name
	literal, isLiteral := spec.Values[0].(*ast.BasicLit)
	if !isLiteral {
		return Item{}, false, fmt.Errorf("%s has no literal value", name)
	}
	text, documented := strings.CutPrefix(strings.Join(strings.Fields(spec.Doc.Text()), " "), name+" ")
	if !documented {
		return Item{}, false, fmt.Errorf("%s has no doc comment that begins with its name", name)
	}
	return Item{Constant: name, Value: strings.Trim(literal.Value, `"`), Text: text}, true, nil
}

func typeName(expr ast.Expr) string {
	switch typ := expr.(type) {
	case *ast.Ident:
		return typ.Name
	case *ast.SelectorExpr:
		return typ.Sel.Name
	default:
		return ""
	}
}
