// Package cli implements kumquat, the operators' command-line tool.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	textlog "github.com/apex/log/handlers/text"
	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/system"
)

// Main runs the tool and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{system: system.NewRealSystem(stdin, stdout, stderr)}
	return int(a.main(ctx, args))
}

// An app holds the global options and the environment of one run of the tool.
type app struct {
	globals globalOptions
	system  system.System
}

// A command is a subcommand of the tool.
type command interface {
	flags.Commander
	run(ctx context.Context, a *app) error
}

// base implements flags.Commander for the commands that embed it.
type base struct{}

// Execute implements flags.Commander. It does nothing, as the parser's command
// handler calls run instead.
func (base) Execute([]string) error { return nil }

func (a *app) main(ctx context.Context, args []string) exitCode {
	parser := a.newParser()
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		cmd, ok := chosen.(command)
		if !ok {
			return nil
		}
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		if err := checkOptions(&a.globals, cmd); err != nil {
			return err
		}
		a.wrapSystem()
		return cmd.run(ctx, a)
	}
	_, err := parser.ParseArgs(args)
	if wantsJSON(args) {
		// Parsing ends at the first error, which may precede this option.
		a.globals.Output = outputJSON
	}
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		return a.printHelp(help)
	}
	if err != nil {
		a.printError(err, helpCommand(parser))
	}
	return codeOf(err)
}

func (a *app) printHelp(help *flags.Error) exitCode {
	if _, err := fmt.Fprintln(a.system.Stdout(), help.Message); err != nil {
		return exitLocal
	}
	return exitOK
}

// wrapSystem applies --dry-run and --debug to the access to files.
func (a *app) wrapSystem() {
	if a.globals.DryRun {
		a.system = system.NewDryRunSystem(a.system)
	}
	if a.globals.Debug {
		logger := &log.Logger{Handler: textlog.New(a.system.Stderr()), Level: log.DebugLevel}
		a.system = system.NewLoggingSystem(a.system, logger)
	}
}

// newParser returns the parser of the command line, with all commands.
func (a *app) newParser() *flags.Parser {
	parser := flags.NewNamedParser("kumquat", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "kumquat plans, confirms and watches work on shared workers.\n\n" + exitCodesHelp
	for _, group := range []struct {
		name string
		data any
	}{
		{"Global Options", &a.globals},
	} {
		if _, err := parser.AddGroup(group.name, "", group.data); err != nil {
			panic(err) // Can't happen: the options are constant.
		}
	}
	addCommands(parser.Command, []commandEntry{
		{"plan", "Show what an intent would do", &planCmd{}},
		{"confirm", "Start the work of a plan", &confirmCmd{}},
		{"status", "Show intents, tasks, workers and daemons", &statusCmd{}},
		{"cancel", "Cancel an intent or some of its tasks", &cancelCmd{}},
		{"apply", "Put declarations in force", &applyCmd{}},
		{"diff", "Show what apply would change", &diffCmd{}},
		{"check", "Check documents without a daemon", &checkCmd{}},
		{"datacentre", "Take a data centre out of service or bring it back", &dataCentreCmd{}},
		{"release", "Let other daemons take over the partitions of dead ones", &releaseCmd{}},
		{"timeline", "Show the events of all daemons", &timelineCmd{}},
		{"top", "Watch workers and daemons", &topCmd{}},
		{"version", "Print the version", &versionCmd{}},
		{"completion", "Print a completion script for a shell", &completionCmd{}},
	})
	return parser
}

// A commandEntry is a command with its name and short help.
type commandEntry struct {
	name, help string
	data       any
}

func addCommands(parent *flags.Command, entries []commandEntry) {
	for _, entry := range entries {
		long := entry.help + "."
		if described, ok := entry.data.(interface{ describe() string }); ok {
			long = described.describe()
		}
		if _, err := parent.AddCommand(entry.name, entry.help, long, entry.data); err != nil {
			panic(err) // Can't happen: the commands are constant.
		}
	}
}
