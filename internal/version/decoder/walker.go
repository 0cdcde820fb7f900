package decoder

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Descriptions of the accepted forms of scalars.
const (
	acceptedDuration = `a number with a unit of ns, us, ms, s, m or h, such as "250ms"`
	acceptedTime     = "a time such as 2026-12-04T20:00:00-05:00"
)

// A walker checks the nodes of a document against the Go type they are decoded
// into.
type walker struct {
	faults *faults
	// lines maps the key of each value, such as "upstreams[0].name", to its line
	// number; "" is the key of the document.
	lines map[string]int
}

// lineOf returns the line number of a node, or 0 if it is unknown.
func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// checkNode checks a node and those below it against a type. The key is that of the
// node.
func (w *walker) checkNode(node ast.Node, typ reflect.Type, key string) {
	if _, ok := w.lines[key]; !ok {
		w.lines[key] = lineOf(node)
	}
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		w.addFault(node, key, "anchors, aliases, tags and merge keys are not supported", "the value written out")
		return
	case ast.NullType:
		w.addFault(node, key, "has no value", "a value, or leave the key out")
		return
	}
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		w.checkDuration(node, key)
	case typ == reflect.TypeFor[time.Time]():
		w.checkTime(node, key)
	case typ.Kind() == reflect.Struct:
		w.checkMapping(node, typ, key)
	case typ.Kind() == reflect.Map:
		w.checkStringMap(node, typ, key)
	case typ.Kind() == reflect.Slice:
		w.checkList(node, typ, key)
	default:
		w.checkScalar(node, typ, key)
	}
}

// addFault adds a fault with the line of a node.
func (w *walker) addFault(node ast.Node, key, message, accepted string) {
	w.faults.add(lineOf(node), key, message, accepted)
}

// pairs returns the key-value pairs of a node, and whether the node is a mapping.
func pairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

func (w *walker) checkMapping(node ast.Node, typ reflect.Type, key string) {
	values, ok := pairs(node)
	if !ok {
		w.addFault(node, key, "is not a mapping", "keys "+strings.Join(keysOf(typ), ", "))
		return
	}
	for _, pair := range values {
		name := pair.Key.GetToken().Value
		child := join(key, name)
		field, ok := fieldOf(typ, name)
		if !ok {
			w.addFault(pair.Key, child, "unknown key", strings.Join(keysOf(typ), ", "))
			continue
		}
		w.lines[child] = lineOf(pair.Key)
		w.checkNode(pair.Value, field.Type, child)
	}
}

// checkStringMap checks a mapping that may have any keys.
func (w *walker) checkStringMap(node ast.Node, typ reflect.Type, key string) {
	values, ok := pairs(node)
	if !ok {
		w.addFault(node, key, "is not a mapping", "a mapping")
		return
	}
	for _, pair := range values {
		w.checkNode(pair.Value, typ.Elem(), join(key, pair.Key.GetToken().Value))
	}
}

func (w *walker) checkList(node ast.Node, typ reflect.Type, key string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		w.addFault(node, key, "is not a list", "a list")
		return
	}
	for i, value := range sequence.Values {
		w.checkNode(value, typ.Elem(), fmt.Sprintf("%s[%d]", key, i))
	}
}

func (w *walker) checkDuration(node ast.Node, key string) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		w.addFault(node, key, fmt.Sprintf("%s has no unit of time", node), acceptedDuration)
		return
	}
	if _, err := time.ParseDuration(text.Value); err != nil {
		message := strings.TrimPrefix(err.Error(), "time: ")
		w.addFault(node, key, message, acceptedDuration)
	}
}

func (w *walker) checkTime(node ast.Node, key string) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		w.addFault(node, key, fmt.Sprintf("%s is not a time", node), acceptedTime)
		return
	}
	if _, err := time.Parse(time.RFC3339, text.Value); err != nil {
		w.addFault(node, key, fmt.Sprintf("%q is not a time", text.Value), acceptedTime)
	}
}

func (w *walker) checkScalar(node ast.Node, typ reflect.Type, key string) {
	accepted, ok := "", true
	switch typ.Kind() {
	case reflect.String:
		accepted = "text"
		ok = slices.Contains([]ast.NodeType{ast.StringType, ast.LiteralType}, node.Type())
	case reflect.Bool:
		accepted = "true or false"
		ok = node.Type() == ast.BoolType
	case reflect.Int, reflect.Int32, reflect.Int64:
		accepted = "a whole number such as 2"
		ok = node.Type() == ast.IntegerType && fitsInt(node, typ)
	case reflect.Float64:
		accepted = "a number such as 2 or 0.5"
		ok = isFinite(node)
	}
	if !ok {
		w.addFault(node, key, fmt.Sprintf("%s is not accepted here", node), accepted)
	}
}

func fitsInt(node ast.Node, typ reflect.Type) bool {
	_, err := strconv.ParseInt(strings.ReplaceAll(node.GetToken().Value, "_", ""), 0, typ.Bits())
	return err == nil
}

func isFinite(node ast.Node) bool {
	switch number := node.(type) {
	case *ast.IntegerNode:
		return true
	case *ast.FloatNode:
		return !math.IsInf(number.Value, 0) && !math.IsNaN(number.Value)
	default:
		return false
	}
}

// join returns the key of an entry that has a name in the mapping with the key parent.
func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// keyOf returns the YAML key of a field, or "" if it has none.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// keysOf returns the YAML keys of the fields of a struct type.
func keysOf(typ reflect.Type) []string {
	var keys []string
	for i := range typ.NumField() {
		if key := keyOf(typ.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// fieldOf returns the field of a struct type that has a YAML key.
func fieldOf(typ reflect.Type, key string) (reflect.StructField, bool) {
	for i := range typ.NumField() {
		if field := typ.Field(i); keyOf(field) == key && key != "" {
			return field, true
		}
	}
	return reflect.StructField{}, false
}
