package cataloguer

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// relativeLink matches a link to another page of the documentation.
var relativeLink = regexp.MustCompile(`\]\(([^):#]+)(?:#[^)]*)?\)`)

// TestPagesLinkToExistingFiles checks the relative links in all Markdown pages of
// the documentation.
func TestPagesLinkToExistingFiles(t *testing.T) {
	pages := []string{filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md")}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range relativeLink.FindAllStringSubmatch(string(content), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s, which doesn't exist", page, match[1])
			}
		}
	}
}
