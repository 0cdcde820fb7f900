// Package harness starts the project's real programs on loopback, behind a
// fault-injecting proxy, for integration tests. Only tests use it.
package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// Programs that the harness builds.
const (
	ProgramDaemon    = "kumquatd"
	ProgramTool      = "kumquat"
	ProgramKeyValue  = "standin-keyvalue"
	ProgramWorker    = "standin-worker"
	ProgramRunner    = "standin-runner"
	ProgramScheduler = "kumquat-scheduler"
)

// modulePath is the import path of the commands.
const modulePath = "github.com/kumquatstack/kumquatstack/cmd/"

// raceVariable is the environment variable that builds the programs with the
// race detector when it is not empty.
const raceVariable = "KUMQUAT_RACE"

// A builder builds the programs once for all tests of a process.
type builder struct {
	once      sync.Once
	directory string
	err       error
}

var programs builder

// Main runs the tests of a package and removes the programs that they built.
func Main(m *testing.M) int {
	defer func() {
		if programs.directory != "" {
			_ = os.RemoveAll(programs.directory)
		}
	}()
	return m.Run()
}

// path returns the path of a built program.
func (b *builder) path(program string) (path string, err error) {
	b.once.Do(func() { b.err = b.build() })
	return filepath.Join(b.directory, program), b.err
}

// build builds all programs into a temporary directory.
func (b *builder) build() (err error) {
	b.directory, err = os.MkdirTemp("", "kumquat-programs-")
	if err != nil {
		return err
	}
	arguments := []string{"build", "-o", b.directory}
	if os.Getenv(raceVariable) != "" {
		arguments = append(arguments, "-race")
	}
	for _, program := range []string{ProgramDaemon, ProgramTool, ProgramKeyValue, ProgramWorker, ProgramRunner, ProgramScheduler} {
		arguments = append(arguments, modulePath+program)
	}
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return errors.Join(err, fmt.Errorf("go build: %s", output))
	}
	return nil
}
