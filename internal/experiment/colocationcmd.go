package experiment

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/colocation"
)

// A colocationCommand compares placement policies for services beside batch
// tasks.
type colocationCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the batch tasks"`

	out io.Writer
}

var _ flags.Commander = (*colocationCommand)(nil)

func newColocationCommand(out io.Writer) flags.Commander { return &colocationCommand{out: out} }

// Execute implements flags.Commander.
func (c *colocationCommand) Execute([]string) error {
	for _, site := range colocation.Sites() {
		if err := colocation.Compare(c.out, site, c.Seed); err != nil {
			return err
		}
	}
	return nil
}
