// Package hostwatcher keeps the platform's list of hosts, which lags and is
// not always available.
package hostwatcher

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// pollTimeout bounds one read of the list.
const pollTimeout = 2 * time.Second

// Options configure a Watcher.
type Options struct {
	Lister   lister.Lister
	Interval time.Duration
	Recorder recorder.Recorder
	Now      func() time.Time
	// Changed is called with each list that differs from the one before.
	Changed func(hosts []lister.Host)
}

// A Watcher reads the list of hosts at an interval and keeps the last list
// that was answered.
type Watcher struct {
	options Options

	mu     sync.Mutex
	hosts  []lister.Host
	failed bool
}

// New returns a watcher without hosts.
func New(options Options) *Watcher {
	return &Watcher{options: options}
}

// Hosts returns the last list. It must not be modified.
func (w *Watcher) Hosts() []lister.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts
}

// Run reads the list until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// poll reads the list once. A list that can't be read leaves the last one in
// force, since hosts do not leave because their list is silent.
func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := w.options.Lister.Hosts(ctx)
	w.noteFailure(err)
	if err != nil {
		return
	}
	if w.replace(hosts) && w.options.Changed != nil {
		w.options.Changed(hosts)
	}
}

// replace reports whether the list differs from the last one.
func (w *Watcher) replace(hosts []lister.Host) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reflect.DeepEqual(hosts, w.hosts) {
		return false
	}
	w.hosts = hosts
	return true
}

// noteFailure records when reading the list begins and ceases to fail.
func (w *Watcher) noteFailure(err error) {
	w.mu.Lock()
	changed := w.failed != (err != nil)
	w.failed = err != nil
	w.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		w.options.Recorder.Record(w.options.Now(), EventListUnavailable, recorder.Fields{"reason": err.Error()})
	default:
		w.options.Recorder.Record(w.options.Now(), EventListAvailable, nil)
	}
}
