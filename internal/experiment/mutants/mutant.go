// Package mutants does mutation testing of the mechanisms that keep the guarantees
// to users. It disables one mechanism at a time and checks that a test fails.
package mutants

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

//go:embed mutants.yaml
var catalogue []byte

// A Mutant is a change of one place in the code that disables a mechanism.
type Mutant struct {
	// Promise is the guarantee to users that the mechanism keeps.
	Promise string `yaml:"promise"`
	// Off describes the mechanism that the change disables.
	Off string `yaml:"off"`
	// File is the changed file, relative to the root of the module.
	File string `yaml:"file"`
	// Before occurs exactly once in the file and is replaced by After.
	Before string `yaml:"before"`
	After  string `yaml:"after"`
	// Package is the package of the tests and Test a regular expression of their
	// names. At least one of them has to fail.
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
}

// Catalogue returns all mutants.
func Catalogue() (mutants []Mutant, err error) {
	err = yaml.UnmarshalWithOptions(catalogue, &mutants, yaml.Strict())
	return mutants, eris.Wrap(err, "reading the mutants")
}

// Apply returns the content of the file with the mechanism disabled. It fails if
// the content does not contain Before exactly once.
func (m Mutant) Apply(content string) (changed string, err error) {
	if found := strings.Count(content, m.Before); found != 1 {
		return "", fmt.Errorf("%s contains %q %d times instead of once", m.File, m.Before, found)
	}
	return strings.Replace(content, m.Before, m.After, 1), nil
}

// An overlay is the JSON file of the go command's -overlay flag.
type overlay struct {
	// Replace maps the paths of files to the paths of their replacements.
	Replace map[string]string
}

// writeOverlay writes the changed file, and an overlay that puts this file in place
// of the original, to a directory. It returns the path of the overlay.
func (m Mutant) writeOverlay(root, directory string) (path string, err error) {
	defer func() { err = eris.Wrapf(err, "disabling mechanism: %s", m.Off) }()
	original := filepath.Join(root, m.File)
	content, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	changed, err := m.Apply(string(content))
	if err != nil {
		return "", err
	}
	replacement := filepath.Join(directory, filepath.Base(m.File))
	path = filepath.Join(directory, "overlay.json")
	encoded, err := json.Marshal(overlay{Replace: map[string]string{original: replacement}})
	if err != nil {
		return "", err
	}
	return path, errors.Join(
		os.WriteFile(replacement, []byte(changed), 0o600),
		os.WriteFile(path, encoded, 0o600),
	)
}
