package decoder

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
)

// setDefaults sets the fields within a value whose keys are not in given, the keys
// that the document has, to the value of their tag "default". The key is that of the
// value itself.
func setDefaults(value reflect.Value, key string, given map[string]int) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			name := keyOf(field)
			if name == "" {
				continue
			}
			child := join(key, name)
			if _, ok := given[child]; !ok {
				setDefault(value.Field(i), field)
			}
			setDefaults(value.Field(i), child, given)
		}
	case reflect.Slice:
		for i := range value.Len() {
			setDefaults(value.Index(i), fmt.Sprintf("%s[%d]", key, i), given)
		}
	}
}

// setDefault sets a field to the value of its tag "default", if it has that tag.
func setDefault(value reflect.Value, field reflect.StructField) {
	text, ok := field.Tag.Lookup("default")
	if !ok {
		return
	}
	if err := yaml.Unmarshal([]byte(text), value.Addr().Interface()); err != nil {
		panic(fmt.Sprintf("default of %s: %v", field.Name, err)) // Can't happen: tags are constant.
	}
}
