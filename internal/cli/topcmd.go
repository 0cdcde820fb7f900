package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// topCmd watches workers and daemons.
type topCmd struct {
	base
	Interval time.Duration `long:"interval" default:"2s" validate:"min=100ms" value-name:"DURATION" description:"Time between two looks"`
	Count    int           `long:"count" default:"0" validate:"min=0" value-name:"N" description:"Number of looks; 0 looks until interrupted"`
}

func (c *topCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for look := 1; ; look++ {
		err := c.look(ctx, a, client)
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return nil
		case err != nil && (c.Count > 0 || look == 1):
			return err
		case err != nil:
			a.notice("no answer: %v", err)
		case look == c.Count:
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *topCmd) look(ctx context.Context, a *app, client *client) error {
	answer, err := call(ctx, client, reads, "status", kumquatv1.Operator.Status, &kumquatv1.StatusRequest{})
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
