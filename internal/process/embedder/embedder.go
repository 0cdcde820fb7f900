// Package embedder runs daemons and stand-ins of the platform in one process, as a demonstration of
// how urgent requests are answered beside batch work.
package embedder

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
)

// A Daemon is an assembled daemon, which serves until its context ends.
type Daemon interface {
	Run(ctx context.Context) error
}

// Options configure an embedded run.
type Options struct {
	// Directory holds declarations.yaml, daemons/ and intents/.
	Directory string
	// Duration is the time for which urgent requests are sent.
	Duration time.Duration
	// RequestsPerSecond is the rate of urgent requests over all daemons.
	RequestsPerSecond int
	// HostsPerDataCentre is the number of workers in a data centre, and of runners for each
	// upstream.
	HostsPerDataCentre int
	// Log is where the daemons' logs are written; if it is nil, they are discarded.
	Log io.Writer
	// Out is where the progress is written, a line each second.
	Out io.Writer
	// NewDaemon assembles a daemon.
	NewDaemon func(set *settings.Settings, logger log.Interface) (Daemon, error)
}

// drainTimeout bounds the daemons' graceful shutdown at the end of a run.
const drainTimeout = 30 * time.Second

// Run starts the stand-ins and the daemons of a directory, applies its declarations, confirms its
// intents, sends urgent requests, and prints a report. It returns an error if anything fails or a
// stand-in recorded a breach of the guarantees.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = eris.Wrap(err, "embedded run") }()
	sets, err := loadSettings(options.Directory)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform, err := startPlatform(ctx, sets, options)
	if err != nil {
		return err
	}
	defer platform.close()

	if err := printIntroduction(options, len(sets)); err != nil {
		return err
	}
	daemons, daemonsCtx := errgroup.WithContext(ctx)
	stopCtx, stop := context.WithCancel(daemonsCtx)
	defer stop()
	for _, set := range sets {
		daemon, err := options.NewDaemon(set, newLogger(options.Log, set))
		if err != nil {
			return err
		}
		daemons.Go(func() error { return daemon.Run(stopCtx) })
	}
	err = runWorkload(daemonsCtx, options, sets)
	stop()
	if waitErr := daemons.Wait(); err == nil {
		err = waitErr
	}
	if err != nil {
		return err
	}
	return platform.report(options.Out)
}

// printIntroduction prints what is about to run.
func printIntroduction(options Options, daemons int) error {
	_, err := fmt.Fprintf(options.Out, `%d daemons of %s start in this process, with stand-ins of the platform:
%d workers and %d runners in each data centre; a runner takes %s on average for a request.
Then %d urgent requests are sent every second for %s, while the tasks of its intents run.
`, daemons, options.Directory, options.HostsPerDataCentre, options.HostsPerDataCentre, runnerMean,
		options.RequestsPerSecond, options.Duration)
	return err
}

// loadSettings reads the settings of all daemons of a directory, with a balancer delay of zero
// since callers reach them without a balancer.
func loadSettings(directory string) ([]*settings.Settings, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "daemons", "*.yaml"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s holds no daemons/*.yaml", directory)
	}
	sets := make([]*settings.Settings, 0, len(paths))
	for _, path := range paths {
		set, err := settings.Load(path)
		if err != nil {
			return nil, err
		}
		sets = append(sets, set.WithStopTimes(0, drainTimeout))
	}
	return sets, nil
}

// newLogger returns the logger of a daemon.
func newLogger(w io.Writer, set *settings.Settings) log.Interface {
	if w == nil {
		return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	return (&log.Logger{Handler: json.New(w), Level: log.InfoLevel}).WithField("daemon", set.Name)
}
