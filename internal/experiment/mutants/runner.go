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

// ErrSurvived reports mechanisms whose tests pass without them.
var ErrSurvived = errors.New("a test passes with its mechanism switched off")

// A Verdict is what the tests of a mutant showed.
type Verdict string

// The verdicts.
const (
	// VerdictCaught says that the test failed, as it has to.
	VerdictCaught Verdict = "caught"
	// VerdictSurvived says that the test passed.
	VerdictSurvived Verdict = "survived"
	// VerdictBroken says that the tests did not run.
	VerdictBroken Verdict = "broken"
)

// Options configure Run.
type Options struct {
	// Root is the directory of the module.
	Root string
	// Only restricts the mutants to those whose description contains it.
	Only string
	Out  io.Writer
}

// Run tries every mutant and prints a line for each. It returns ErrSurvived if
// a mutant was not caught.
func Run(ctx context.Context, opts Options) (err error) {
	defer func() { err = eris.Wrap(err, "switching mechanisms off") }()
	opts.Root, err = filepath.Abs(opts.Root)
	if err != nil {
		return err
	}
	catalogue, err := Catalogue()
	if err != nil {
		return err
	}
	missed := 0
	for _, mutant := range catalogue {
		if !strings.Contains(mutant.Promise+mutant.Off, opts.Only) {
			continue
		}
		verdict, detail, err := try(ctx, opts.Root, mutant)
		if err != nil {
			return err
		}
		if verdict != VerdictCaught {
			missed++
		}
		_, _ = fmt.Fprintf(opts.Out, "%-8s | %s | without: %s | %s\n", verdict, mutant.Promise, mutant.Off, detail)
	}
	if missed > 0 {
		return fmt.Errorf("%d times: %w", missed, ErrSurvived)
	}
	return nil
}

// try runs the tests of one mutant.
func try(ctx context.Context, root string, mutant Mutant) (verdict Verdict, detail string, err error) {
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
	command.Env = append(os.Environ(), "GOFLAGS=-overlay="+overlay) // Holds for the daemons that tests build, too.
	output, err := command.CombinedOutput()
	verdict, detail = judge(output, err)
	return verdict, detail, nil
}

// judge returns the verdict on a run of tests, and the first test that failed.
func judge(output []byte, err error) (verdict Verdict, detail string) {
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
