// Package decoder decodes YAML documents strictly: unknown and repeated keys,
// wrong types, wrong units and values out of range are reported with their line
// and key, and a document with any fault is refused as a whole.
package decoder

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// MaxDocumentBytes limits the size of a document.
const MaxDocumentBytes = 256 << 10

// A Report records a fault that a Check found in the value of a key, such as
// "upstreams[0].maxDuration", with a description of the values that are accepted.
type Report func(key, message, accepted string)

// A Check examines a decoded document for faults that the tags of single fields
// can't express.
type Check[T any] func(value *T, report Report)

// Decode decodes one document into value. Fields whose keys are absent get the
// value of their tag "default". The name is that of the file, for error messages.
// Every error is a *errs.DocumentError.
func Decode[T any](name string, document []byte, value *T, checks ...Check[T]) error {
	faults := &faults{name: name}
	root := parse(document, faults)
	if root == nil {
		return faults.err()
	}
	walk := &walker{faults: faults, lines: map[string]int{}}
	walk.checkNode(root, reflect.TypeFor[T](), "")
	if faults.any() {
		return faults.err()
	}
	if err := yaml.NodeToValue(root, value, yaml.Strict()); err != nil {
		faults.addYAML(err)
		return faults.err()
	}
	setDefaults(reflect.ValueOf(value).Elem(), "", walk.lines)
	locate := &locator{lines: walk.lines, faults: faults}
	validateStruct(value, locate)
	for _, check := range checks {
		check(value, locate.report)
	}
	return faults.err()
}

// parse returns the root node of a document. If there is none, it adds the reason
// to the faults and returns nil.
func parse(document []byte, faults *faults) ast.Node {
	if len(document) > MaxDocumentBytes {
		faults.add(0, "", fmt.Sprintf("document has %d bytes", len(document)), fmt.Sprintf("up to %d bytes", MaxDocumentBytes))
		return nil
	}
	if problem := checkShape(document); problem != nil {
		faults.problems = append(faults.problems, *problem)
		return nil
	}
	file, err := parser.ParseBytes(document, 0)
	if err != nil {
		faults.addYAML(err)
		return nil
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		faults.add(1, "", "document is empty", "one YAML mapping")
		return nil
	case 1:
		return bodies[0]
	default:
		faults.add(lineOf(bodies[1]), "", "a second document begins", "one YAML document")
		return nil
	}
}

// faults collects the problems of one document.
type faults struct {
	name     string
	problems []errs.DocumentProblem
}

func (f *faults) any() bool { return len(f.problems) > 0 }

// add adds a problem. Line 0 stands for the document as a whole.
func (f *faults) add(line int, key, message, accepted string) {
	f.problems = append(f.problems, errs.DocumentProblem{Line: line, Key: key, Message: message, Accepted: accepted})
}

// addYAML adds an error that the YAML library returned.
func (f *faults) addYAML(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		f.add(0, "", err.Error(), "")
		return
	}
	accepted := "YAML that is indented with spaces"
	if strings.Contains(located.GetMessage(), "already defined") {
		accepted = "each key once"
	}
	f.add(located.GetToken().Position.Line, "", located.GetMessage(), accepted)
}

// err returns the problems, sorted by line, as an error, or nil if there are none.
func (f *faults) err() error {
	if !f.any() {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b errs.DocumentProblem) int { return cmp.Compare(a.Line, b.Line) })
	return &errs.DocumentError{Name: f.name, Problems: f.problems}
}

// A locator reports faults with the line of a key or, if the document lacks the key,
// of its nearest parent that the document has.
type locator struct {
	lines  map[string]int // line numbers by key
	faults *faults
}

// report implements Report.
func (l *locator) report(key, message, accepted string) {
	l.faults.add(l.line(key), key, message, accepted)
}

func (l *locator) line(key string) int {
	for key != "" {
		if line, ok := l.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return l.lines[""]
}

// validateStruct reports the fields that violate their validate tags.
func validateStruct(value any, locate *locator) {
	err := newValidator().Struct(value)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return
	}
	for _, fault := range invalid {
		key := withoutRoot(fault.Namespace())
		tag := fieldTag(reflect.TypeOf(value).Elem(), withoutRoot(fault.StructNamespace()))
		if fault.Tag() == "unique" {
			reportDuplicates(fault, key, locate)
			continue
		}
		locate.report(key, message(fault), Accepted(tag, fault.Type()))
	}
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return keyOf(field) })
	return validate
}

// withoutRoot drops the name of the root type from a namespace of the validator, for
// example "Declarations." from "Declarations.Upstreams[0].MaxDuration".
func withoutRoot(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	return key
}
