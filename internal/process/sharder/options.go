// Package sharder owns the tasks and workers of one data centre: it journals
// every change of a task before it acts on it, commands the workers under its
// epoch, and moves tasks to other data centres.
//
// A Sharder has one lock. A loop decides under the lock; commands to workers
// and journal writes run in a bounded pool without it and apply their outcome
// under it. The journal's own locks are never taken while it is held by a
// caller that waits for the store.
package sharder

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// tick is the time between two passes of the loop when nothing happens.
	tick = 100 * time.Millisecond
	// passGap is the time for which outcomes are gathered before a pass.
	passGap = 30 * time.Millisecond
	// commitInterval is the least time between two journal commits.
	commitInterval = 100 * time.Millisecond
	// appendTimeout bounds one journal append.
	appendTimeout = 10 * time.Second
	// callTimeout bounds one command to a worker.
	callTimeout = 3 * time.Second
	// startTimeout bounds the call that starts a run. It adds to the age of the
	// proof on which the run starts, and both together stay below the time in
	// which a change of configuration is accepted.
	startTimeout = 800 * time.Millisecond
	// checkpointTimeout bounds a checkpoint, retries included.
	checkpointTimeout = 4 * time.Second
	// poolSize bounds the commands in flight.
	poolSize = 128
	// commandsPerWorker bounds the commands in flight to one worker.
	commandsPerWorker = 4
	// defaultLease is used while no declarations are in force.
	defaultLease = 10 * time.Second
	// driftMargin is added to leases for the drift of clocks, with
	// driftPercent of the lease.
	driftMargin  = 500 * time.Millisecond
	driftPercent = 1
	// defaultPoll is the time between two renewals of a worker's leases, by
	// which ended runs are found.
	defaultPoll = time.Second
	// usageInterval is the time between two readings of a worker's usage.
	usageInterval = 5 * time.Second
	// reportRetry is the pause after a report that failed.
	reportRetry = time.Second
	// reportInterval is the longest time between two reports of a worker.
	reportInterval = 30 * time.Second
)

// Peers reaches the owners of other shards.
type Peers interface {
	// Adopt hands tasks to the shard of a data centre.
	Adopt(ctx context.Context, dataCentre string, request *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error)
	// ShardStatus reads the load of the shard of a data centre.
	ShardStatus(ctx context.Context, dataCentre string, request *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error)
}

// Options configure a Sharder.
type Options struct {
	// Shard is the partition, "shard:<dataCentre>".
	Shard      owner.Partition
	DataCentre string
	Epoch      owner.Epoch
	Store      storer.Store
	Agents     commander.Dialer
	// Hosts returns the platform's host list as known last, any kind and data centre.
	Hosts func() []lister.Host
	// Declarations returns the version in force, or nil.
	Declarations func() *declarer.Version
	Authority    owner.Authority
	Policy       placer.Policy
	Recorder     recorder.Recorder
	Now          func() time.Time
	// Peers may be nil, which keeps all tasks in the shard.
	Peers Peers
	// Slowdown estimates interference for the policy, in percent per core of
	// the batch class; it may be nil.
	Slowdown func(service, batch string) float64
	// SlowdownLimit is the estimated slowdown of a service, in percent, up to
	// which batch tasks are added to its worker; zero sets no limit.
	SlowdownLimit float64
	// Interference is kept in the journal for later owners; it may be nil.
	Interference InterferenceModel
	// OnUsage receives each reading of a worker's usage; it may be nil.
	OnUsage func(now time.Time, worker string, usages []commander.Usage)
	// RenewInterval is the time between two renewals of a worker's leases; zero means
	// one second.
	RenewInterval time.Duration
}

// withDefaults returns a copy with absent options filled in.
func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = recorder.Discard{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = defaultPoll
	}
	return o
}

// declarations returns the declarations in force, which may be empty.
func (o *Options) declarations() *declarer.Declarations {
	if version := o.Declarations(); version != nil && version.Declarations != nil {
		return version.Declarations
	}
	return &declarer.Declarations{}
}

// lease returns the lease that the declarations ask for.
func (o *Options) lease() time.Duration {
	if lease := o.declarations().Batch.Lease; lease > 0 {
		return lease
	}
	return defaultLease
}

// isOut reports whether the shard's data centre is taken out of service.
func (o *Options) isOut() bool { return o.declarations().IsOut(o.DataCentre) }
