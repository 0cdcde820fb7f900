// Package hostlist is a stand-in for the platform's list of hosts. Tests set the hosts, and how
// long the served list lags behind them.
package hostlist

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
)

var errOutage = errors.New("outage")

// Faults are the faults that a test injects into the list.
type Faults struct {
	// LagMillis is how long a change takes to be visible, in milliseconds.
	LagMillis int64 `json:"lagMillis"`
	// Outage makes every read of the list fail.
	Outage bool `json:"outage"`
}

// A version is the list of hosts that is valid from an instant until that of the next version.
type version struct {
	at    time.Time
	hosts []lister.Host
}

// A List is the host list. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	faults   Faults
	versions []version
	clock    func() time.Time
}

var _ lister.Lister = (*List)(nil)

// New returns an empty list without lag.
func New() *List {
	return &List{clock: time.Now}
}

// SetClock replaces the clock that drives the lag.
func (l *List) SetClock(clock func() time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = clock
}

// SetFaults replaces the faults.
func (l *List) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// SetHosts replaces the hosts of the list. The first ones that are set are visible without lag.
func (l *List) SetHosts(hosts []lister.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(slices.Clone(hosts))
}

// SetState changes the state of one host.
func (l *List) SetState(name string, state lister.HostState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return fmt.Errorf("no host %q", name)
	}
	hosts := slices.Clone(l.versions[len(l.versions)-1].hosts)
	index := slices.IndexFunc(hosts, func(host lister.Host) bool { return host.Name == name })
	if index < 0 {
		return fmt.Errorf("no host %q", name)
	}
	hosts[index].State = state
	l.append(hosts)
	return nil
}

// Hosts implements lister.Lister.
func (l *List) Hosts(context.Context) ([]lister.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, errOutage
	}
	if len(l.versions) == 0 {
		return nil, nil
	}
	visible := l.versions[0]
	at := l.clock().Add(-time.Duration(l.faults.LagMillis) * time.Millisecond)
	for _, each := range l.versions {
		if !each.at.After(at) {
			visible = each
		}
	}
	return slices.Clone(visible.hosts), nil
}

// append adds a version of the list. The caller must hold the lock.
func (l *List) append(hosts []lister.Host) {
	l.versions = append(l.versions, version{at: l.clock(), hosts: hosts})
}
