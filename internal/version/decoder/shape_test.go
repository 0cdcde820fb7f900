package decoder

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// TestDecodeBoundsShape guards against documents of permitted size that exhaust
// the memory: the YAML parser needs memory that grows with the square of the
// nesting and of the number of keys in one mapping.
func TestDecodeBoundsShape(t *testing.T) {
	var wide, deep strings.Builder
	for i := range maxKeys + 1 {
		fmt.Fprintf(&wide, "key%d: 1\n", i)
	}
	for i := range maxIndent + 2 {
		deep.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	for name, c := range map[string]struct {
		document string
		line     int
	}{
		"nested lists in one line": {"name: a\n" + strings.Repeat("- ", maxIndent), 2},
		"nested mappings":          {deep.String(), maxIndent + 2},
		"nested brackets":          {strings.Repeat("[", maxNesting+1), 1},
		"keys of a mapping":        {wide.String(), maxKeys + 1},
		"keys in braces":           {"{" + strings.ReplaceAll(wide.String(), "\n", ", ") + "z: 1}", 1},
		"size":                     {strings.Repeat("# x\n", MaxDocumentBytes), 0},
	} {
		t.Run(name, func(t *testing.T) {
			var s sample
			var faulty *errs.DocumentError
			err := Decode("s.yaml", []byte(c.document), &s)
			if !errors.As(err, &faulty) || faulty.Problems[0].Line != c.line || !strings.HasPrefix(faulty.Problems[0].Accepted, "up to") {
				t.Errorf("got %v, want a refusal on line %d", err, c.line)
			}
		})
	}
	t.Run("long lists are accepted", func(t *testing.T) {
		var s sample
		document := "name: a\nparts:\n"
		for i := range 3 * maxKeys {
			document += fmt.Sprintf("  - name: p%d\n    size: 1\n", i)
		}
		if err := Decode("s.yaml", []byte(document), &s); err != nil {
			t.Error(err)
		}
	})
}
