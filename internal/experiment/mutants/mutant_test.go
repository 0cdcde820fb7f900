package mutants

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestCatalogueMatchesTheCode guards against an entry of the catalogue that can
// no longer be applied because its place in the code has changed.
func TestCatalogueMatchesTheCode(t *testing.T) {
	catalogue, err := Catalogue()
	if err != nil {
		t.Fatal(err)
	}
	for _, mutant := range catalogue {
		content, err := os.ReadFile(filepath.Join("../../..", mutant.File))
		if err != nil {
			t.Fatal(err)
		}
		changed, err := mutant.Apply(string(content))
		if err != nil || changed == string(content) {
			t.Errorf("%s: %v", mutant.Off, err)
		}
	}
}

func TestVerdictOf(t *testing.T) {
	failed := errors.New("exit status 1")
	for _, test := range []struct {
		name, output string
		err          error
		want         Verdict
	}{
		{"passes", "ok", nil, VerdictSurvived},
		{"has no tests", "ok [no tests to run]", nil, VerdictBroken},
		{"fails", "=== RUN\n    --- FAIL: TestKeeper/takes_over (0.1s)\nFAIL", failed, VerdictCaught},
		{"is not built", "syntax error\nFAIL [build failed]", failed, VerdictBroken},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := verdictOf([]byte(test.output), test.err); got != test.want {
				t.Errorf("verdict = %s, want %s", got, test.want)
			}
		})
	}
}
