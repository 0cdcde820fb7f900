// Package daemon assembles the parts of kumquatd and runs them.
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

// options are the daemon's command line.
type options struct {
	Settings string        `short:"s" long:"settings" value-name:"FILE" description:"settings file of this daemon"`
	Embedded string        `long:"embedded" value-name:"DIRECTORY" description:"run the daemons of a directory with stand-ins of the platform in this process, and show requests and tasks"`
	Duration time.Duration `long:"duration" value-name:"TIME" default:"20s" description:"length of an embedded run"`
	Log      string        `long:"log" value-name:"FILE" description:"file for the daemons' logs of an embedded run"`
	Version  bool          `long:"version" description:"print the version and exit"`
}

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code: 0
// after a planned stop, 1 if the daemon failed, 2 for a faulty command line, 3
// for faulty settings.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("kumquatd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return report(stderr, err, exitFailed)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return report(stdout, err, exitOK)
		}
		return report(stderr, err, exitUsage)
	}
	if opts.Version {
		return report(stdout, errors.New("kumquatd "+versioner.Describe()), exitOK)
	}
	if opts.Embedded != "" {
		return runEmbedded(opts, stdout, stderr)
	}
	if opts.Settings == "" {
		return report(stderr, errors.New("no settings file given; use --settings FILE or --embedded DIRECTORY"), exitUsage)
	}
	return run(opts.Settings, stderr)
}

// collectorPercent is how far the heap may grow beyond live memory between two
// garbage collections, in percent. Entry hosts are small: memory is worth more
// than the processor time of collections.
const collectorPercent = 40

// tuneCollector sets the garbage collector unless the environment does.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}

// run runs the daemon with a settings file.
func run(path string, stderr io.Writer) int {
	set, err := settings.Load(path)
	if err != nil {
		return report(stderr, err, exitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	tuneCollector()
	d, err := New(set, newLogger(stderr, set))
	if err != nil {
		return report(stderr, err, exitFailed)
	}
	if err := d.Run(ctx); err != nil {
		return report(stderr, err, exitFailed)
	}
	return exitOK
}

// Sizes of an embedded run.
const (
	embeddedRequestsPerSecond = 100
	embeddedHosts             = 4
)

// runEmbedded runs daemons and stand-ins in this process.
func runEmbedded(opts options, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	embedded := embedder.Options{
		Directory:          opts.Embedded,
		Duration:           opts.Duration,
		RequestsPerSecond:  embeddedRequestsPerSecond,
		HostsPerDataCentre: embeddedHosts,
		Out:                stdout,
		NewDaemon: func(set *settings.Settings, logger log.Interface) (embedder.Runner, error) {
			return New(set, logger)
		},
	}
	if opts.Log != "" {
		file, err := os.Create(opts.Log)
		if err != nil {
			return report(stderr, err, exitFailed)
		}
		defer func() { _ = file.Close() }()
		embedded.Log = file
	}
	if err := embedder.Run(ctx, embedded); err != nil {
		return report(stderr, err, exitFailed)
	}
	return exitOK
}

// newLogger returns a logger of JSON lines.
func newLogger(w io.Writer, set *settings.Settings) log.Interface {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return (&log.Logger{Handler: json.New(w), Level: level}).WithField("daemon", set.Name)
}

// report prints a message and returns the exit code.
func report(w io.Writer, message error, code int) int {
	// Nothing is left to do if the message can't be written.
	_, _ = fmt.Fprintln(w, message)
	return code
}
