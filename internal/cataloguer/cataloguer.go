// Package cataloguer reads the numbered events and the metrics that packages
// declare as constants, and renders the catalogues in the documentation.
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

// An Item is one documented constant.
type Item struct {
	Package string
	// Constant is the Go name.
	Constant string
	// Value is the constant's value: a number, or an unquoted string.
	Value string
	// Text is the doc comment without the constant's name.
	Text string
}

// Number returns the value of an event's constant.
func (i Item) Number() int {
	number, err := strconv.Atoi(i.Value)
	if err != nil {
		return 0
	}
	return number
}

// EventName returns the name that an event has in logs and time lines.
func (i Item) EventName() string {
	runes := []rune(strings.TrimPrefix(i.Constant, "Event"))
	runes[0] = unicode.ToLower(runes[0])
	return i.Package + "." + string(runes)
}

// Events returns the events declared in files events.go under a directory, by
// number.
func Events(root string) ([]Item, error) {
	items, err := scan(root, "events.go", "Number")
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Number(), b.Number()) })
	return items, err
}

// Metrics returns the metrics declared in files metrics.go under a directory,
// by name.
func Metrics(root string) ([]Item, error) {
	items, err := scan(root, "metrics.go", "Name")
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Value, b.Value) })
	return items, err
}

// scan returns the constants of a type in all files of a name.
func scan(root, file, kind string) (items []Item, err error) {
	defer func() { err = eris.Wrap(err, "read declared constants") }()
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != file {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		found, err := constants(parsed, kind)
		items = append(items, found...)
		return err
	})
	return items, err
}

func constants(file *ast.File, kind string) ([]Item, error) {
	var items []Item
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			item, ok, err := constant(spec.(*ast.ValueSpec), kind)
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

// constant returns one declared constant if it has the type. It must have a
// literal value and a doc comment that begins with its name.
func constant(spec *ast.ValueSpec, kind string) (item Item, ok bool, err error) {
	if typeName(spec.Type) != kind {
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
	switch kind := expr.(type) {
	case *ast.Ident:
		return kind.Name
	case *ast.SelectorExpr:
		return kind.Sel.Name
	default:
		return ""
	}
}
