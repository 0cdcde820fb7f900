// Package hostlist is a stand-in of the platform's list of hosts, which lags
// behind what tests set.
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

// Faults are what a test makes the list do wrong.
type Faults struct {
	// LagMillis is the age of the list, in milliseconds.
	LagMillis int64 `json:"lagMillis"`
	Outage    bool  `json:"outage"`
}

// A version is the list as it was set at an instant.
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

// SetClock replaces the clock by which the list lags.
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

// SetHosts replaces the list. The first one is seen without lag.
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
	seen := l.versions[0]
	at := l.clock().Add(-time.Duration(l.faults.LagMillis) * time.Millisecond)
	for _, each := range l.versions {
		if !each.at.After(at) {
			seen = each
		}
	}
	return slices.Clone(seen.hosts), nil
}

// append adds a version. The lock has to be held.
func (l *List) append(hosts []lister.Host) {
	l.versions = append(l.versions, version{at: l.clock(), hosts: hosts})
}
