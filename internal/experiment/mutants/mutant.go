// Package mutants switches mechanisms off, one at a time, and sees whether the
// test of the promise fails.
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

// A Mutant is a change of one place in the code that switches a mechanism off.
type Mutant struct {
	// Promise is what the mechanism keeps.
	Promise string `yaml:"promise"`
	// Off is the mechanism that the change switches off.
	Off string `yaml:"off"`
	// File is the changed file, relative to the root of the module.
	File string `yaml:"file"`
	// Before stands once in the file and is replaced by After.
	Before string `yaml:"before"`
	After  string `yaml:"after"`
	// Package and Test name the tests, of which one has to fail.
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
}

// Catalogue returns the mutants of this version of the code.
func Catalogue() (mutants []Mutant, err error) {
	err = yaml.UnmarshalWithOptions(catalogue, &mutants, yaml.Strict())
	return mutants, eris.Wrap(err, "reading the mutants")
}

// Apply returns the file's content with the mechanism switched off. It is an
// error if the place isn't found exactly once.
func (m Mutant) Apply(content string) (changed string, err error) {
	if found := strings.Count(content, m.Before); found != 1 {
		return "", fmt.Errorf("%s holds %q %d times", m.File, m.Before, found)
	}
	return strings.Replace(content, m.Before, m.After, 1), nil
}

// An overlay is the file of that name that the go command takes.
type overlay struct {
	// Replace maps files to those that are read in their place.
	Replace map[string]string
}

// writeOverlay writes the changed file and an overlay with it to a directory,
// and returns the path of the overlay.
func (m Mutant) writeOverlay(root, directory string) (path string, err error) {
	defer func() { err = eris.Wrapf(err, "switching off: %s", m.Off) }()
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
