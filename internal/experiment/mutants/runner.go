package mutants

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// testTimeout bounds the tests of one mutant.
const testTimeout = 3 * time.Minute

// ErrSurvived is returned if a mutant was not caught.
var ErrSurvived = errors.New("mutant was not caught by its tests")

// A Verdict is the result of the tests of a mutant.
type Verdict string

// The verdicts on a mutant.
const (
	// VerdictCaught means that a test failed, as it has to.
	VerdictCaught Verdict = "caught"
	// VerdictSurvived means that the tests passed.
	VerdictSurvived Verdict = "survived"
	// VerdictBroken means that the tests did not run.
	VerdictBroken Verdict = "broken"
)

// Options configure Run.
type Options struct {
	// Root is the directory of the module.
	Root string
	// Only is a text that restricts the run to the mutants whose Promise or Off
	// contains it.
	Only string
	Out  io.Writer
}

// Run tests every mutant and prints a line for each. It returns ErrSurvived if a
// mutant was not caught.
func Run(ctx context.Context, opts Options) (err error) {
	defer func() { err = eris.Wrap(err, "testing mutants") }()
	opts.Root, err = filepath.Abs(opts.Root)
	if err != nil {
		return err
	}
	catalogue, err := Catalogue()
	if err != nil {
		return err
	}
	notCaught := 0
	for _, mutant := range catalogue {
		if !strings.Contains(mutant.Promise+mutant.Off, opts.Only) {
			continue
		}
		verdict, detail, err := runTests(ctx, opts.Root, mutant)
		if err != nil {
			return err
		}
		if verdict != VerdictCaught {
			notCaught++
		}
		_, _ = fmt.Fprintf(opts.Out, "%-8s | %s | without: %s | %s\n", verdict, mutant.Promise, mutant.Off, detail)
	}
	if notCaught > 0 {
		return fmt.Errorf("%d times: %w", notCaught, ErrSurvived)
	}
	return nil
}

// runTests runs the tests of one mutant with the mutant's change applied.
func runTests(ctx context.Context, root string, mutant Mutant) (verdict Verdict, detail string, err error) {
	directory, err := os.MkdirTemp("", "mutant-*")
	if err != nil {
		return "", "", err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	overlay, err := mutant.writeOverlay(root, directory)
	if err != nil {
		return "", "", err
	}
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "go", "test", "-count=1", "-vet=off",
		"-run", "^("+mutant.Test+")$", mutant.Package)
	command.Dir = root
	// The variable also affects the daemons that tests build.
	command.Env = append(os.Environ(), "GOFLAGS=-overlay="+overlay)
	output, err := command.CombinedOutput()
	verdict, detail = verdictOf(output, err)
	return verdict, detail, nil
}

// verdictOf returns the verdict on a run of tests, given the output and error of the
// go command. The detail is the first test that failed, or the reason for another
// verdict.
func verdictOf(output []byte, err error) (verdict Verdict, detail string) {
	if bytes.Contains(output, []byte("no tests to run")) {
		return VerdictBroken, "no tests to run"
	}
	if err == nil {
		return VerdictSurvived, "tests pass"
	}
	for line := range bytes.Lines(output) {
		name, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("--- FAIL: "))
		if found {
			return VerdictCaught, string(name)
		}
	}
	return VerdictBroken, string(bytes.TrimSpace(output))
}
