// Package hostwatcher polls the platform's list of hosts. The list lags and isn't always available,
// so the last list that could be read is kept.
package hostwatcher

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// pollTimeout is the timeout of one read of the list.
const pollTimeout = 2 * time.Second

// Options configure a Watcher.
type Options struct {
	Lister   lister.Lister
	Interval time.Duration
	Recorder recorder.Recorder
	Now      func() time.Time
	// OnChange is called with each list that differs from the one before; it may be nil.
	OnChange func(hosts []lister.Host)
}

// A Watcher reads the list of hosts at an interval and keeps the last list that could be read. It
// is safe for concurrent use.
type Watcher struct {
	options Options

	mu        sync.Mutex
	hosts     []lister.Host
	isFailing bool
}

// New returns a watcher whose list is empty until the first read.
func New(options Options) *Watcher {
	return &Watcher{options: options}
}

// Hosts returns the last list, which must not be modified.
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

// poll reads the list once. If it can't be read, the last list stays in force, since an outage of
// the list says nothing about the hosts.
func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := w.options.Lister.Hosts(ctx)
	w.recordAvailability(err)
	if err != nil {
		return
	}
	if w.replace(hosts) && w.options.OnChange != nil {
		w.options.OnChange(hosts)
	}
}

// replace stores the list and reports whether it differs from the last one.
func (w *Watcher) replace(hosts []lister.Host) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reflect.DeepEqual(hosts, w.hosts) {
		return false
	}
	w.hosts = hosts
	return true
}

// recordAvailability records an event when reads of the list begin or cease to fail.
func (w *Watcher) recordAvailability(err error) {
	w.mu.Lock()
	changed := w.isFailing != (err != nil)
	w.isFailing = err != nil
	w.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		w.options.Recorder.Record(w.options.Now(), EventListUnavailable, recorder.Fields{"reason": err.Error()})
	default:
		w.options.Recorder.Record(w.options.Now(), EventListAvailable, nil)
	}
}
