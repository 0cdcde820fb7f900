// Package harness starts the project's real programs on loopback for integration tests and
// experiments, with a fault-injecting proxy between them.
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

// modulePath is the prefix of the programs' import paths.
const modulePath = "github.com/kumquatstack/kumquatstack/cmd/"

// raceVariable is the environment variable that, if not empty, enables the race detector in the
// built programs.
const raceVariable = "KUMQUAT_RACE"

// A builder builds the programs once for all tests of a test process.
type builder struct {
	once      sync.Once
	directory string
	err       error
}

var programs builder

// Main runs the tests of a package, removes the programs that they built, and returns the exit
// code.
func Main(m *testing.M) int {
	defer func() {
		if programs.directory != "" {
			_ = os.RemoveAll(programs.directory)
		}
	}()
	return m.Run()
}

// path returns the path of a built program. The first call builds all programs.
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
