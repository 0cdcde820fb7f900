// Package lister reads the platform's list of hosts, which lags behind the actual
// state of the hosts.
package lister

import "context"

// A HostKind is the purpose of a host.
type HostKind string

// Kinds of hosts.
const (
	KindWorker HostKind = "worker"
	KindRunner HostKind = "runner"
)

// A HostState is the state of a host according to the platform.
type HostState string

// States of a host.
const (
	StateLive    HostState = "live"
	StateLeaving HostState = "leaving"
)

// A Host is one entry of the platform's host list.
type Host struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // IP address and port
	Kind       HostKind  `json:"kind"`
	State      HostState `json:"state"`
	DataCentre string    `json:"dataCentre"`
	Rack       string    `json:"rack"`
	// Upstream is the service that a runner serves.
	Upstream     string `json:"upstream,omitempty"`
	MilliCores   int64  `json:"milliCores,omitempty"`
	MemoryBytes  int64  `json:"memoryBytes,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
}

// A Lister returns the platform's list of hosts.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
