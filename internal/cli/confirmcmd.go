package cli

import (
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// confirmCmd starts the work of a plan.
type confirmCmd struct {
	base
	Wait bool          `long:"wait" description:"Wait until the tasks have ended"`
	For  time.Duration `long:"for" default:"1h" validate:"min=1ms" value-name:"DURATION" description:"Maximum time to wait with --wait"`
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"File written by kumquat plan --out; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (*confirmCmd) describe() string {
	return "Start the work of a plan. A plan is refused if the state that it relies on has changed since. " +
		"Confirming the same plan again starts no task twice."
}

func (c *confirmCmd) run(ctx context.Context, a *app) error {
	plan, err := readPlan(a, c.Args.Plan)
	if err != nil {
		return err
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	if a.globals.DryRun {
		return a.printDryRun("confirm intent %s", plan.GetIntent())
	}
	answer, err := call(ctx, client, mutating, "confirm", kumquatv1.Operator.Confirm, &kumquatv1.ConfirmRequest{Plan: plan})
	if err != nil {
		return err
	}
	err = a.print(answer, func(w io.Writer) {
		if answer.GetAlreadyConfirmed() {
			printf(w, "intent %s was already confirmed\n", answer.GetIntent())
			return
		}
		printf(w, "intent %s confirmed\n", answer.GetIntent())
	})
	if err != nil || !c.Wait {
		return err
	}
	_, err = waitForIntent(ctx, a, client, answer.GetIntent(), c.For)
	return err
}

// readPlan reads a plan file. For a faulty file it returns a *errs.DocumentError.
func readPlan(a *app, name string) (*kumquatv1.Plan, error) {
	data, err := a.system.ReadFile(name)
	if err != nil {
		return nil, err
	}
	plan := &kumquatv1.Plan{}
	if err := protojson.Unmarshal(data, plan); err != nil {
		return nil, &errs.DocumentError{Name: name, Problems: []errs.DocumentProblem{{
			Line: 1, Message: "is not a plan: " + err.Error(), Accepted: "a file written by kumquat plan --out",
		}}}
	}
	if plan.GetIntent() == "" || plan.GetDocument() == "" {
		return nil, &errs.DocumentError{Name: name, Problems: []errs.DocumentProblem{{
			Line: 1, Message: "is not a plan", Accepted: "a file written by kumquat plan --out",
		}}}
	}
	return plan, nil
}
