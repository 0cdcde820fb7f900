package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const examples = "../../../examples"

// TestExamples checks that the documents of the examples are valid and agree with each other.
func TestExamples(t *testing.T) {
	for _, user := range []string{"peachtree", "sundarban"} {
		t.Run(user, func(t *testing.T) {
			document, err := os.ReadFile(filepath.Join(examples, user, "declarations.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			declared, err := declarer.Parse("declarations.yaml", document)
			if err != nil {
				t.Fatal(err)
			}
			assertIntents(t, declared, filepath.Join(examples, user, "intents"))
			assertDaemons(t, declared, filepath.Join(examples, user, "daemons"))
		})
	}
}

func filesIn(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", directory, err)
	}
	return files
}

func assertIntents(t *testing.T, declared *declarer.Declarations, directory string) {
	t.Helper()
	for _, file := range filesIn(t, directory) {
		document, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := declared.CheckIntent(file, document); err != nil {
			t.Error(err)
		}
	}
}

// assertDaemons checks that each file is valid, that its data centre is declared in the file's
// region, and that no two daemons share a name or an address.
func assertDaemons(t *testing.T, declared *declarer.Declarations, directory string) {
	t.Helper()
	used := map[string]string{}
	for _, file := range filesIn(t, directory) {
		set, err := Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if region := declared.RegionOf(set.DataCentre); region != set.Region {
			t.Errorf("%s: region %q, declared %q", file, set.Region, region)
		}
		for _, value := range []string{set.Name, set.Listen.Callers, set.Listen.Peers, set.Listen.Operators, set.Listen.Health} {
			if other, repeated := used[value]; repeated {
				t.Errorf("%s: %s is already used by %s", file, value, other)
			}
			used[value] = file
		}
	}
}
