package embedder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// startTimeout bounds the wait until the daemons accept declarations and all shards have
	// owners.
	startTimeout   = 60 * time.Second
	retryDelay     = 200 * time.Millisecond
	reportInterval = time.Second
	// callTimeout is the timeout of one call to the operators' service.
	callTimeout = 20 * time.Second
)

// runWorkload applies the declarations, confirms the intents, and sends urgent requests for the
// duration in the options, with a line of progress each second.
func runWorkload(ctx context.Context, options Options, sets []*settings.Settings) (err error) {
	operator := kumquatv1.NewOperatorProtobufClient("http://"+sets[0].Listen.Operators, &http.Client{Timeout: callTimeout})
	declared, err := loadDeclarations(options.Directory)
	if err != nil {
		return err
	}
	if err := apply(ctx, options, operator); err != nil {
		return err
	}
	if err := confirmAll(ctx, options, operator); err != nil {
		return err
	}
	callers := newCallers(sets, declared, options.RequestsPerSecond)
	defer callers.close()
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	callers.start(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			callers.wait()
			return callers.check()
		case <-ticker.C:
			if err := printProgress(ctx, options.Out, callers, operator); err != nil {
				return err
			}
		}
	}
}

func loadDeclarations(directory string) (*declarer.Declarations, error) {
	path := filepath.Join(directory, "declarations.yaml")
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return declarer.Parse(path, document)
}

// apply applies the declarations of the directory.
func apply(ctx context.Context, options Options, operator kumquatv1.Operator) error {
	document, err := os.ReadFile(filepath.Join(options.Directory, "declarations.yaml"))
	if err != nil {
		return err
	}
	return retry(ctx, "apply the declarations", func(ctx context.Context) error {
		resp, err := operator.Apply(ctx, &kumquatv1.ApplyRequest{Document: string(document), BaseVersion: -1})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(options.Out, "declarations in force as version %d\n", resp.Version)
		return err
	})
}

// confirmAll waits until all shards have owners, then plans and confirms the intents of the
// directory.
func confirmAll(ctx context.Context, options Options, operator kumquatv1.Operator) error {
	err := retry(ctx, "find owners of all shards", func(ctx context.Context) error {
		status, err := operator.Status(ctx, &kumquatv1.StatusRequest{})
		if err != nil {
			return err
		}
		if len(status.MissingShards) > 0 || len(status.Workers) == 0 {
			return eris.Errorf("workers are unknown, or shards have no owner: %v", status.MissingShards)
		}
		return nil
	})
	if err != nil {
		return err
	}
	paths, err := filepath.Glob(filepath.Join(options.Directory, "intents", "*.yaml"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		if err := confirm(ctx, options.Out, operator, path); err != nil {
			return eris.Wrap(err, path)
		}
	}
	return nil
}

// confirm plans and confirms one intent.
func confirm(ctx context.Context, out io.Writer, operator kumquatv1.Operator, path string) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return retry(ctx, "confirm "+path, func(ctx context.Context) error {
		planned, err := operator.Plan(ctx, &kumquatv1.PlanRequest{Document: string(document)})
		if err != nil {
			return err
		}
		plan := planned.Plan
		if _, err := operator.Confirm(ctx, &kumquatv1.ConfirmRequest{Plan: plan}); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "intent %s confirmed: %d tasks start now, %d wait, %d can't run\n",
			plan.Intent, len(plan.Placements), len(plan.Waiting), len(plan.Rejections))
		return err
	})
}

// retry repeats an action until it succeeds or startTimeout has passed. It then returns the last
// error, wrapped with the name of the action.
func retry(ctx context.Context, what string, act func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := act(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, what)
		case <-time.After(retryDelay):
		}
	}
}

// printProgress prints a line on the requests and tasks so far.
func printProgress(ctx context.Context, out io.Writer, callers *callers, operator kumquatv1.Operator) error {
	line := callers.summary()
	if status, err := operator.Status(ctx, &kumquatv1.StatusRequest{}); err == nil {
		counts := map[string]int32{}
		for _, intent := range status.Intents {
			for state, count := range intent.Counts {
				counts[state] += count
			}
		}
		line += fmt.Sprintf("; tasks: %d assigned, %d pending, %d finished",
			counts[kumquatv1.TaskState_TASK_STATE_ASSIGNED.String()],
			counts[kumquatv1.TaskState_TASK_STATE_PENDING.String()],
			counts[kumquatv1.TaskState_TASK_STATE_FINISHED.String()])
	}
	_, err := fmt.Fprintln(out, line)
	return err
}
