package experiment

import (
	"context"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/hops"
)

// A hopsCommand measures the latency that a daemon adds to a request.
type hopsCommand struct {
	Rate     int           `long:"rate" default:"1000" description:"requests a second of each way"`
	Duration time.Duration `long:"duration" default:"20s" description:"time for which both ways are measured"`

	out io.Writer
}

var _ flags.Commander = (*hopsCommand)(nil)

func newHopsCommand(out io.Writer) flags.Commander { return &hopsCommand{out: out} }

// Execute implements flags.Commander.
func (c *hopsCommand) Execute([]string) error {
	return hops.Measure(context.Background(), hops.Options{
		RequestsPerSecond: c.Rate,
		Duration:          c.Duration,
		Out:               c.out,
	})
}
