// Package lister reads the platform's lagging list of hosts.
package lister

import "context"

// A HostKind tells what a host is for.
type HostKind string

// Kinds of hosts.
const (
	KindWorker HostKind = "worker"
	KindRunner HostKind = "runner"
)

// A HostState is the platform's view of a host.
type HostState string

// States of a host.
const (
	StateLive    HostState = "live"
	StateLeaving HostState = "leaving"
)

// A Host is one entry of the platform's host list.
type Host struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // IP number and port
	Kind       HostKind  `json:"kind"`
	State      HostState `json:"state"`
	DataCentre string    `json:"dataCentre"`
	Rack       string    `json:"rack"`
	// Upstream is the service that a runner belongs to.
	Upstream     string `json:"upstream,omitempty"`
	MilliCores   int64  `json:"milliCores,omitempty"`
	MemoryBytes  int64  `json:"memoryBytes,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
}

// A Lister returns the platform's list of hosts, which lags.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
