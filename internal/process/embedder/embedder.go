// Package embedder runs daemons and stand-ins of the platform in one process,
// so that a newcomer sees urgent requests being answered beside batch work.
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
	// Duration is how long urgent requests are sent.
	Duration time.Duration
	// RequestsPerSecond is the rate of urgent requests over all daemons.
	RequestsPerSecond int
	// HostsPerDataCentre is the number of workers and of runners.
	HostsPerDataCentre int
	// Log receives the daemons' log; nil discards it.
	Log io.Writer
	// Out receives the progress, a line a second.
	Out io.Writer
	// NewDaemon assembles a daemon.
	NewDaemon func(set *settings.Settings, logger log.Interface) (Daemon, error)
}

// stopGrace bounds the daemons' orderly stop at the end of a run.
const stopGrace = 30 * time.Second

// Run starts the stand-ins and the daemons of a directory, applies its
// declarations, confirms its intents, sends urgent requests, and reports. It
// returns an error if anything fails or a stand-in recorded a breach of the
// promises.
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

	if err := announce(options, len(sets)); err != nil {
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
	err = show(daemonsCtx, options, sets)
	stop()
	if waitErr := daemons.Wait(); err == nil {
		err = waitErr
	}
	if err != nil {
		return err
	}
	return platform.report(options.Out)
}

// announce tells what is about to run.
func announce(options Options, daemons int) error {
	_, err := fmt.Fprintf(options.Out, `%d daemons of %s start in this process, with stand-ins of the platform:
%d workers and %d runners in each data centre; a runner takes %s on average for a request.
Then %d urgent requests are sent every second for %s, while the tasks of its intents run.
`, daemons, options.Directory, options.HostsPerDataCentre, options.HostsPerDataCentre, runnerMean,
		options.RequestsPerSecond, options.Duration)
	return err
}

// loadSettings reads the settings of all daemons of a directory.
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
		sets = append(sets, set.WithStop(0, stopGrace))
	}
	return sets, nil
}

// newLogger returns the logger of one daemon.
func newLogger(w io.Writer, set *settings.Settings) log.Interface {
	if w == nil {
		return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	return (&log.Logger{Handler: json.New(w), Level: log.InfoLevel}).WithField("daemon", set.Name)
}
