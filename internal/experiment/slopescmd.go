package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/experiment/slopes"
)

// A slopesCommand measures the resources that a daemon uses for control at
// several sizes.
type slopesCommand struct {
	Duration time.Duration `long:"duration" default:"15s" description:"time for which each size is measured"`
	Series   []string      `long:"series" description:"name of a series to measure; all if none is given"`

	out io.Writer
}

var _ flags.Commander = (*slopesCommand)(nil)

func newSlopesCommand(out io.Writer) flags.Commander { return &slopesCommand{out: out} }

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	for _, series := range slopes.AllSeries() {
		if !c.isWanted(series.Name) {
			continue
		}
		if err := c.run(context.Background(), series); err != nil {
			return err
		}
	}
	return nil
}

// isWanted reports whether a series is selected by the options.
func (c *slopesCommand) isWanted(name string) bool {
	for _, wanted := range c.Series {
		if wanted == name {
			return true
		}
	}
	return len(c.Series) == 0
}

// run measures one series and prints its report.
func (c *slopesCommand) run(ctx context.Context, series slopes.Series) error {
	var points []slopes.Point
	for _, load := range series.Loads {
		point, err := slopes.Measure(ctx, load, c.Duration)
		if err != nil {
			return fmt.Errorf("series %s: %w", series.Name, err)
		}
		points = append(points, point)
	}
	return slopes.Report(c.out, series, points)
}
