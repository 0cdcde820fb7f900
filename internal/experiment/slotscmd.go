package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/slots"
)

// A slotsCommand compares policies for sharing the runners' slots.
type slotsCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of arrivals and service times"`
	Duration time.Duration `long:"duration" default:"60s" description:"simulated time of each run"`

	out io.Writer
}

var _ flags.Commander = (*slotsCommand)(nil)

func newSlotsCommand(out io.Writer) flags.Commander { return &slotsCommand{out: out} }

// Execute implements flags.Commander.
func (c *slotsCommand) Execute([]string) error {
	for _, run := range []struct {
		title string
		load  float64
		fault slots.Fault
	}{
		{"50 % load", 0.50, slots.NoFault},
		{"80 % load", 0.80, slots.NoFault},
		{"95 % load", 0.95, slots.NoFault},
		{"80 % load, a daemon dies", 0.80, slots.DaemonDies},
		{"80 % load, a runner fails fast", 0.80, slots.RunnerFails},
		{"80 % load, a runner is slow", 0.80, slots.RunnerSlow},
	} {
		results := slots.Compare(slots.Scenario{Seed: c.Seed, Load: run.load, Duration: c.Duration, Fault: run.fault})
		if err := slots.Print(c.out, run.title, results); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(c.out); err != nil {
			return err
		}
	}
	return nil
}
