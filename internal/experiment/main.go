// Package experiment implements the commands of kumquat-experiment.
package experiment

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// A subcommand is the command of one experiment.
type subcommand struct {
	name        string
	description string
	// command returns the options of the command, whose Execute method runs the experiment and
	// prints the results to out.
	command func(out io.Writer) flags.Commander
}

// subcommands lists the experiments. Each of them has a file of its own.
var subcommands = []subcommand{
	{"slots", "compare ways of sharing the runners' slots", newSlotsCommand},
	{"colocation", "compare placement policies for services beside batch tasks", newColocationCommand},
	{"hops", "measure the latency that a daemon adds to a request", newHopsCommand},
	{"tails", "compare callers' response times with those of a perfect queue", newTailsCommand},
	{"changes", "measure how fast changes of the declarations take effect", newChangesCommand},
	{"slopes", "measure what a daemon uses for control at several sizes", newSlopesCommand},
	{"mutants", "switch mechanisms off and see whether their tests fail", newMutantsCommand},
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("kumquat-experiment", flags.HelpFlag|flags.PassDoubleDash)
	for _, sub := range subcommands {
		if _, err := parser.AddCommand(sub.name, sub.description, "", sub.command(stdout)); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
