package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// anyVersion is the value of --base-version that accepts any version in force.
const anyVersion = -1

// applyCmd puts declarations in force.
type applyCmd struct {
	base
	File        string `short:"f" long:"file" required:"true" value-name:"FILE" description:"YAML file of the declarations; - is the standard input"`
	BaseVersion int64  `long:"base-version" default:"-1" validate:"min=-1" value-name:"N" description:"Refuse unless this version is in force, for example the one that kumquat diff showed"`
	BringBack   bool   `long:"bring-back" description:"Allow the file to bring data centres back in service"`
}

func (*applyCmd) describe() string {
	return "Put a declarations file in force at all daemons. The file is applied as a whole or not at all. " +
		"It is refused if another operator changed the declarations meanwhile. Applying the same file again changes nothing."
}

func (c *applyCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	diff, err := compareFile(ctx, a, client, c.File)
	if err != nil {
		return err
	}
	if err := c.check(diff); err != nil {
		return err
	}
	if a.globals.DryRun {
		return a.printValue(diff, diff.write)
	}
	if a.globals.Output != outputJSON {
		diff.write(a.system.Stderr())
	}
	answer, err := apply(ctx, client, diff)
	if err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) {
		writeApplied(w, answer.GetVersion(), answer.GetUnchanged(), answer.GetUnconfirmed())
	})
}

// check refuses a file that was written for another version, or that would bring a
// data centre back in service without --bring-back.
func (c *applyCmd) check(diff *difference) error {
	if c.BaseVersion != anyVersion && c.BaseVersion != diff.BaseVersion && len(diff.Changes) > 0 {
		return &errs.RefusedError{
			What:   c.File,
			Why:    fmt.Sprintf("it is based on version %d, and version %d is in force", c.BaseVersion, diff.BaseVersion),
			Remedy: "run kumquat diff, merge the changes, and apply again",
		}
	}
	if names := diff.broughtBack(); len(names) > 0 && !c.BringBack {
		return &errs.RefusedError{
			What:   c.File,
			Why:    fmt.Sprintf("it would bring %s back in service, which an operator took out", strings.Join(names, ", ")),
			Remedy: "set out: true in the file, or add --bring-back",
		}
	}
	return nil
}

// apply sends the change. If its outcome is unknown, or if another version has been
// put in force meanwhile, it reads the declarations in force to find out whether
// the change took effect.
func apply(ctx context.Context, c *client, diff *difference) (*kumquatv1.ApplyResponse, error) {
	answer, err := call(ctx, c, mutating, "apply", kumquatv1.Operator.Apply,
		&kumquatv1.ApplyRequest{Document: diff.document, BaseVersion: diff.BaseVersion})
	var unknown *errs.UnknownOutcomeError
	isConflict := errors.Is(err, errs.ErrConflict)
	if err == nil || !errors.As(err, &unknown) && !isConflict {
		return answer, err
	}
	current, readErr := call(ctx, c, readOnly, "read declarations", kumquatv1.Operator.GetDeclarations, &kumquatv1.GetDeclarationsRequest{})
	switch {
	case readErr != nil:
		return nil, err
	case current.GetDocument() == diff.document && current.GetVersion() != diff.BaseVersion:
		return &kumquatv1.ApplyResponse{Version: current.GetVersion()}, nil
	case isConflict:
		return nil, conflictError(diff, current)
	default:
		return nil, err
	}
}

// conflictError returns the refusal of a change that conflicts with a change by another
// operator. Its reason lists what the other operator changed.
func conflictError(diff *difference, current *kumquatv1.GetDeclarationsResponse) error {
	refused := &errs.RefusedError{
		What:   "the change",
		Why:    fmt.Sprintf("another operator put version %d in force", current.GetVersion()),
		Remedy: "run kumquat diff, merge the changes, and apply again",
	}
	theirs, err := declarer.Parse("declarations in force", []byte(current.GetDocument()))
	if err != nil {
		return refused
	}
	for _, change := range declarer.Diff(diff.inForce, theirs) {
		refused.Why += "\n        " + change.String()
	}
	return refused
}

func writeApplied(w io.Writer, version int64, unchanged bool, unconfirmed []string) {
	if unchanged {
		printf(w, "version %d is in force already\n", version)
		return
	}
	printf(w, "version %d accepted\n", version)
	if len(unconfirmed) > 0 {
		printf(w, "not yet confirmed by %s; kumquat status shows when it is in force there\n", strings.Join(unconfirmed, ", "))
	}
}
