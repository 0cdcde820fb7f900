package cli

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/version/decoder"
)

// checkOptions checks options against the tags "validate" of their fields. It
// returns a *usageError for the first option that is out of range.
func checkOptions(structs ...any) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("long") })
	for _, options := range structs {
		var invalid validator.ValidationErrors
		if errors.As(validate.Struct(options), &invalid) {
			fault := invalid[0]
			accepted := decoder.Accepted(fault.Tag()+"="+fault.Param(), fault.Type())
			return &usageError{fmt.Sprintf("--%s: %v is out of range (accepted: %s)", fault.Field(), fault.Value(), accepted)}
		}
	}
	return nil
}

// wantsJSON reports whether arguments ask for JSON output. It doesn't use the
// parser, as the arguments may be faulty.
func wantsJSON(args []string) bool {
	words := strings.Fields(strings.ReplaceAll(strings.Join(args, " "), "=", " "))
	for i, word := range words[:max(0, len(words)-1)] {
		if slices.Contains([]string{"-o", "--output"}, word) && words[i+1] == outputJSON {
			return true
		}
	}
	return slices.Contains(words, "-o"+outputJSON)
}

// helpCommand returns the command line that shows the help of the chosen command.
func helpCommand(parser *flags.Parser) string {
	words := []string{parser.Name}
	for c := parser.Active; c != nil; c = c.Active {
		words = append(words, c.Name)
	}
	return strings.Join(append(words, "--help"), " ")
}
