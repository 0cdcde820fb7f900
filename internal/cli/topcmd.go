package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// topCmd shows workers and daemons at regular intervals.
type topCmd struct {
	base
	Interval time.Duration `long:"interval" default:"2s" validate:"min=100ms" value-name:"DURATION" description:"Time between two refreshes"`
	Count    int           `long:"count" default:"0" validate:"min=0" value-name:"N" description:"Number of refreshes; 0 refreshes until interrupted"`
}

func (c *topCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		err := c.refresh(ctx, a, client)
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return nil
		case err != nil && (c.Count > 0 || round == 1):
			return err
		case err != nil:
			a.notice("no answer: %v", err)
		case round == c.Count:
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *topCmd) refresh(ctx context.Context, a *app, client *client) error {
	answer, err := call(ctx, client, readOnly, "status", kumquatv1.Operator.Status, &kumquatv1.StatusRequest{})
	if err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) {
		if c.Count != 1 {
			printf(w, "— %s —\n", time.Now().Format(time.RFC3339))
		}
		writeMissing(w, answer)
		writeWorkers(w, answer.GetWorkers())
		printf(w, "\n")
		writeDaemons(w, answer)
	})
}
