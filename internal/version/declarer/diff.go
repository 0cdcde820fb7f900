package declarer

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// A ChangeKind says how a value differs between two documents.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// A Change is one difference between two documents. Its key identifies entries of
// lists by name, not by index: "upstreams[charm-orders].maxDuration".
type Change struct {
	Key  string     `json:"key"`
	Kind ChangeKind `json:"kind"`
	Old  string     `json:"old,omitempty"`
	New  string     `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Key, c.New)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Key, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Key, c.Old, c.New)
	}
}

// Diff returns the differences between two documents, sorted by key. Nil stands for
// an empty document. The order of list entries is ignored.
func Diff(before, after *Declarations) []Change {
	old, next := flatten(before), flatten(after)
	var changes []Change
	for key, value := range old {
		replacement, kept := next[key]
		switch {
		case !kept:
			changes = append(changes, Change{Key: key, Kind: ChangeRemoved, Old: value})
		case replacement != value:
			changes = append(changes, Change{Key: key, Kind: ChangeChanged, Old: value, New: replacement})
		}
	}
	for key, value := range next {
		if _, existed := old[key]; !existed {
			changes = append(changes, Change{Key: key, Kind: ChangeAdded, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// flatten returns the scalar values of a document as text, by keys such as
// "upstreams[charm-orders].maxDuration".
func flatten(d *Declarations) map[string]string {
	values := map[string]string{}
	if d != nil {
		flattenValue(reflect.ValueOf(*d), "", values)
	}
	return values
}

// flattenValue adds the scalar values within a value, whose key is given, to values.
func flattenValue(value reflect.Value, key string, values map[string]string) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("yaml"), ",")
			flattenValue(value.Field(i), strings.TrimPrefix(key+"."+name, "."), values)
		}
	case reflect.Slice:
		for i := range value.Len() {
			flattenValue(value.Index(i), fmt.Sprintf("%s[%s]", key, entryName(value.Index(i))), values)
		}
	default:
		values[key] = fmt.Sprint(value.Interface())
	}
}

// entryName returns the name or path that identifies a list entry in keys.
func entryName(entry reflect.Value) string {
	for _, name := range []string{"Name", "Path"} {
		if field := entry.FieldByName(name); field.IsValid() {
			return field.String()
		}
	}
	return fmt.Sprint(entry.Interface())
}
