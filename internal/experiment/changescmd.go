package experiment

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/changes"
)

// A changesCommand measures how fast changes of the declarations take effect.
type changesCommand struct {
	Changes int `long:"changes" default:"200" description:"changes whose spread over 8 daemons is measured"`
	Trials  int `long:"trials" default:"10" description:"times that a data centre is taken out while tasks start there"`

	out io.Writer
}

var _ flags.Commander = (*changesCommand)(nil)

func newChangesCommand(out io.Writer) flags.Commander { return &changesCommand{out: out} }

// Execute implements flags.Commander.
func (c *changesCommand) Execute([]string) error {
	return changes.Measure(context.Background(), changes.Options{
		Changes: c.Changes,
		Trials:  c.Trials,
		Out:     c.out,
	})
}
