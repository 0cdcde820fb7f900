package decoder

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// ruleTexts describes the values that validation rules without a parameter accept.
var ruleTexts = map[string]string{
	"hostname_rfc1123": "letters, digits, hyphens and dots",
	"hostname_port":    "host:port",
	"ip":               "an IP number",
	"http_url":         "a URL such as http://10.1.0.2:2379",
	"file":             "an existing file",
}

// fieldTag returns the validate tag of the field at a path of Go names, for
// example "Upstreams[0].MaxDuration".
func fieldTag(typ reflect.Type, namespace string) string {
	tag := ""
	for _, part := range strings.Split(namespace, ".") {
		name, index, _ := strings.Cut(part, "[")
		for typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		field, ok := typ.FieldByName(name)
		if !ok {
			return ""
		}
		typ, tag = field.Type, field.Tag.Get("validate")
		if index != "" {
			typ = typ.Elem()
			_, tag, _ = strings.Cut(tag, "dive")
		}
	}
	before, _, _ := strings.Cut(tag, "dive")
	return strings.Trim(before, ",")
}

// message returns the text that describes a fault of a single value.
func message(fault validator.FieldError) string {
	if strings.HasPrefix(fault.Tag(), "required") {
		return "is missing"
	}
	if fault.Kind() == reflect.Slice {
		return fmt.Sprintf("has %d entries", reflect.ValueOf(fault.Value()).Len())
	}
	if fault.Kind() == reflect.String {
		return fmt.Sprintf("%q is not accepted", fault.Value())
	}
	return fmt.Sprintf("%v is out of range", fault.Value())
}

// Accepted describes the values that a validate tag accepts for a type, for example
// "1 to 1024".
func Accepted(tag string, typ reflect.Type) string {
	low, high := "", ""
	var words []string
	for _, rule := range strings.Split(tag, ",") {
		name, param, _ := strings.Cut(rule, "=")
		switch name {
		case "min", "gte":
			low = param
		case "max", "lte":
			high = param
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(param, " ", ", "))
		case "startswith":
			words = append(words, "text that starts with "+param)
		default:
			if text, ok := ruleTexts[name]; ok {
				words = append(words, text)
			}
		}
	}
	if text := acceptedRange(low, high); text != "" {
		words = append(words, text+unitOf(typ))
	}
	return strings.Join(words, ", ")
}

func acceptedRange(low, high string) string {
	switch {
	case low != "" && high != "":
		return low + " to " + high
	case low != "":
		return low + " or more"
	case high != "":
		return "up to " + high
	default:
		return ""
	}
}

func unitOf(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Slice:
		return " entries"
	case reflect.String:
		return " characters"
	default:
		return ""
	}
}

// reportDuplicates reports the entries of a list whose identifying field, for
// example the name, has the same value as in an earlier entry.
func reportDuplicates(fault validator.FieldError, key string, locate *locator) {
	list := reflect.ValueOf(fault.Value())
	seen := map[any]int{}
	for i := range list.Len() {
		entry, child := list.Index(i), fmt.Sprintf("%s[%d]", key, i)
		if fault.Param() != "" {
			field, _ := entry.Type().FieldByName(fault.Param())
			entry, child = entry.FieldByName(fault.Param()), join(child, keyOf(field))
		}
		first, repeated := seen[entry.Interface()]
		if !repeated {
			seen[entry.Interface()] = i
			continue
		}
		locate.report(child, fmt.Sprintf("%q is already used by %s[%d]", fmt.Sprint(entry.Interface()), key, first), "a value that is used once")
	}
}
