// Package daemon assembles the components of kumquatd and runs them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jessevdk/go-flags"

	"github.com/kumquatstack/kumquatstack/internal/process/embedder"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/versioner"
)

// Exit codes of kumquatd.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// description is printed by --help and in the command reference.
const description = `kumquatd takes callers' requests and decides on tasks, one daemon on each entry host.
SIGTERM or SIGINT stops it gracefully: readiness fails, requests in flight end, and other daemons take over.

Exit codes:
0 stopped gracefully
1 the daemon or the embedded run failed
2 invalid options
3 invalid settings`

// options are the options of the daemon's command line.
type options struct {
	Settings string        `short:"s" long:"settings" value-name:"FILE" description:"Settings file of this daemon"`
	Embedded string        `long:"embedded" value-name:"DIRECTORY" description:"Run the daemons of a directory with stand-ins of the platform in this process, and show requests and tasks"`
	Duration time.Duration `long:"duration" value-name:"DURATION" default:"20s" description:"Length of an embedded run"`
	Log      string        `long:"log" value-name:"FILE" description:"File for the daemons' logs of an embedded run"`
	Version  bool          `long:"version" description:"Print the version and exit"`
}

// NewParser returns the parser of the daemon's command line.
func NewParser() *flags.Parser { return newParser(&options{}) }

func newParser(opts *options) *flags.Parser {
	parser := flags.NewNamedParser("kumquatd", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		panic(err) // can't happen: the options are constant
	}
	return parser
}

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	rest, err := newParser(&opts).ParseArgs(args)
	var help *flags.Error
	switch {
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		return report(stdout, err, exitOK)
	case err == nil:
		err = opts.check(rest)
	}
	if err != nil {
		return report(stderr, fmt.Errorf("kumquatd: %w\n  next: see kumquatd --help", err), exitUsage)
	}
	switch {
	case opts.Version:
		return report(stdout, errors.New("kumquatd "+versioner.Describe()), exitOK)
	case opts.Embedded != "":
		return runEmbedded(opts, stdout, stderr)
	default:
		return run(opts.Settings, stderr)
	}
}

// check rejects arguments, values out of range, and missing or mutually exclusive options.
func (o options) check(rest []string) error {
	switch {
	case len(rest) > 0:
		return fmt.Errorf("unexpected argument %q", rest[0])
	case o.Duration <= 0:
		return fmt.Errorf("--duration: %s is out of range (accepted: more than 0)", o.Duration)
	case o.Settings != "" && o.Embedded != "":
		return errors.New("--settings and --embedded exclude each other (accepted: one of them)")
	case o.Settings == "" && o.Embedded == "" && !o.Version:
		return errors.New("no settings are given (accepted: --settings FILE, or --embedded DIRECTORY)")
	default:
		return nil
	}
}

// gcPercent is how far the heap may grow beyond live memory between two garbage collections, in
// percent. It is low since entry hosts are small: their memory is worth more than the processor
// time of collections.
const gcPercent = 40

// setGCPercent sets the garbage collector's target unless the environment variable GOGC does.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// run runs the daemon with a settings file and returns its exit code.
func run(path string, stderr io.Writer) int {
	set, err := settings.Load(path)
	if err != nil {
		return report(stderr, fmt.Errorf("kumquatd: %w\n  next: correct the settings; kumquat check --settings %s checks them", err, path), exitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	setGCPercent()
	d, err := New(set, newLogger(stderr, set))
	if err != nil {
		return fail(stderr, err)
	}
	if err := d.Run(ctx); err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

// Load and size of an embedded run.
const (
	embeddedRequestsPerSecond = 100
	embeddedHosts             = 4
)

// runEmbedded runs daemons and stand-ins of the platform in this process and returns the exit code.
func runEmbedded(opts options, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	embedded := embedder.Options{
		Directory:          opts.Embedded,
		Duration:           opts.Duration,
		RequestsPerSecond:  embeddedRequestsPerSecond,
		HostsPerDataCentre: embeddedHosts,
		Out:                stdout,
		NewDaemon: func(set *settings.Settings, logger log.Interface) (embedder.Daemon, error) {
			return New(set, logger)
		},
	}
	if opts.Log != "" {
		file, err := os.Create(opts.Log)
		if err != nil {
			return fail(stderr, err)
		}
		defer func() { _ = file.Close() }()
		embedded.Log = file
	}
	if err := embedder.Run(ctx, embedded); err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

// newLogger returns a logger that writes JSON lines.
func newLogger(w io.Writer, set *settings.Settings) log.Interface {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return (&log.Logger{Handler: json.New(w), Level: level}).WithField("daemon", set.Name)
}

// fail prints why the daemon or the embedded run failed and returns the exit code.
func fail(stderr io.Writer, err error) int {
	return report(stderr, fmt.Errorf("kumquatd: %w", err), exitFailed)
}

// report prints a message and returns the given exit code.
func report(w io.Writer, message error, code int) int {
	// A message that can't be written can't be reported either.
	_, _ = fmt.Fprintln(w, message)
	return code
}
