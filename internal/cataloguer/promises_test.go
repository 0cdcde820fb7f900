package cataloguer

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// namedTest matches a reference to a test in PROMISES.md: `package.TestName`.
	namedTest = regexp.MustCompile("`([a-z]+\\.Test[A-Za-z0-9]+)`")
	// declaredTest matches the declaration of a test function.
	declaredTest = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(t \*testing\.T\)`)
)

// TestPromisesNameExistingTests checks that every row of PROMISES.md names a test,
// and that the tests which the page names exist.
func TestPromisesNameExistingTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/PROMISES.md"))
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredTests(t)
	named := namedTest.FindAllStringSubmatch(string(page), -1)
	if len(named) == 0 {
		t.Fatal("the page names no test")
	}
	for _, match := range named {
		if !declared[match[1]] {
			t.Errorf("test %s doesn't exist", match[1])
		}
	}
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| promise") && !namedTest.MatchString(line) {
			t.Errorf("row without a test: %s", line)
		}
	}
}

// declaredTests returns the tests under internal, as "directory.TestName".
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declaredTest.FindAllStringSubmatch(string(source), -1) {
			declared[filepath.Base(filepath.Dir(path))+"."+match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}
