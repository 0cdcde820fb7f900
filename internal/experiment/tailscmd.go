package experiment

import (
	"context"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/tails"
)

// A tailsCommand compares the response times that callers of real daemons see
// with those of a perfect queue.
type tailsCommand struct {
	Seed   uint64        `long:"seed" default:"1" description:"seed of the first round's arrivals and service times"`
	Loads  []int         `long:"load" default:"50" default:"80" default:"95" description:"load in percent of all slots"`
	Rounds int           `long:"rounds" default:"3" description:"traces of each load"`
	Length time.Duration `long:"length" default:"10s" description:"measured time of each trace without a fault"`
	Mean   time.Duration `long:"mean" default:"75ms" description:"mean service time"`
	Fault  string        `long:"fault" default:"none" choice:"none" choice:"kill" choice:"slow" choice:"fail" choice:"kill-slow" choice:"kill-fail" choice:"join" description:"what goes wrong during each trace"`

	out io.Writer
}

var _ flags.Commander = (*tailsCommand)(nil)

func newTailsCommand(out io.Writer) flags.Commander { return &tailsCommand{out: out} }

// Execute implements flags.Commander.
func (c *tailsCommand) Execute([]string) error {
	return tails.Compare(context.Background(), tails.Options{
		Seed:   c.Seed,
		Loads:  c.Loads,
		Rounds: c.Rounds,
		Length: c.Length,
		Mean:   c.Mean,
		Fault:  tails.Fault(c.Fault),
		Out:    c.out,
	})
}
