package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// cancelCmd cancels an intent or some of its tasks.
type cancelCmd struct {
	base
	Tasks []string `long:"task" value-name:"ID" description:"Only this task; may be given several times"`
	Args  struct {
		Intent string `positional-arg-name:"INTENT" description:"Intent to cancel"`
	} `positional-args:"yes" required:"yes"`
}

func (*cancelCmd) describe() string {
	return "Cancel all tasks of an intent, or only those named. Tasks that have ended stay as they are."
}

func (c *cancelCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	if a.globals.DryRun {
		return a.printDryRun("cancel intent %s", c.Args.Intent)
	}
	answer, err := call(ctx, client, mutating, "cancel", kumquatv1.Operator.Cancel,
		&kumquatv1.CancelRequest{Intent: c.Args.Intent, TaskIds: c.Tasks})
	if err != nil {
		return err
	}
	missing := answer.GetMissingShards()
	if len(missing) > 0 && 0 < len(c.Tasks) && int(answer.GetCancelled()) < len(c.Tasks) {
		return &errs.UnknownOutcomeError{
			Op:    "cancellation",
			Cause: fmt.Errorf("%d of %d tasks are cancelled, and the owner of %s does not answer", answer.GetCancelled(), len(c.Tasks), strings.Join(missing, ", ")),
		}
	}
	return a.print(answer, func(w io.Writer) {
		if len(c.Tasks) == 0 {
			if len(missing) > 0 {
				printf(w, "INCOMPLETE: no answer from the owner of %s, which cancels its tasks as soon as it can\n", strings.Join(missing, ", "))
			}
			printf(w, "intent %s is cancelled: %d tasks\n", c.Args.Intent, answer.GetCancelled())
			return
		}
		printf(w, "%d tasks of intent %s cancelled\n", answer.GetCancelled(), c.Args.Intent)
	})
}
