package experiment

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/mutants"
)

// A mutantsCommand disables mechanisms one at a time and checks that a test
// fails for each.
type mutantsCommand struct {
	Root string `long:"root" default:"." description:"directory of the module"`
	Only string `long:"only" description:"only mechanisms whose description contains this text"`

	out io.Writer
}

var _ flags.Commander = (*mutantsCommand)(nil)

func newMutantsCommand(out io.Writer) flags.Commander { return &mutantsCommand{out: out} }

// Execute implements flags.Commander.
func (c *mutantsCommand) Execute([]string) error {
	return mutants.Run(context.Background(), mutants.Options{Root: c.Root, Only: c.Only, Out: c.out})
}
