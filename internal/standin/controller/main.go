package controller

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the stand-in programs.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// Main parses flags into options, creates the services and runs them, and returns the exit code.
// The address points to the field of options that holds the address to listen on.
func Main(args []string, stdout, stderr io.Writer, options any, address *string, services func() []Service) int {
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(args)
	var problem *flags.Error
	switch {
	case errors.As(err, &problem) && problem.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, problem.Message)
		return ExitOK
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if err := Run(*address, services(), stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitError
	}
	return ExitOK
}
