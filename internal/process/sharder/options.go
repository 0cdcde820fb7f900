// Package sharder owns the tasks and workers of one data centre: it journals
// every change of a task before it acts on it, commands the workers under its
// epoch, and moves tasks to other data centres.
//
// A Sharder has one lock. A loop makes the decisions with the lock held.
// Commands to workers run in a bounded pool and journal writes in the
// background. Both run without the lock and take it only to read or change the
// state; it is never held during a call of the journal that waits for the store.
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
	// passInterval is the time between two passes of the loop when nothing
	// happens.
	passInterval = 100 * time.Millisecond
	// coalesceDelay is the time for which the outcomes of commands are
	// collected before a pass.
	coalesceDelay = 30 * time.Millisecond
	// commitInterval is the least time between two journal commits.
	commitInterval = 100 * time.Millisecond
	// appendTimeout bounds one journal append.
	appendTimeout = 10 * time.Second
	// callTimeout bounds one command to a worker.
	callTimeout = 3 * time.Second
	// startTimeout bounds the call that starts a run. A start may take effect
	// this long after the proof of the declarations was checked; startTimeout
	// and the age of that proof together stay below the time in which a change
	// of configuration is accepted.
	startTimeout = 800 * time.Millisecond
	// checkpointTimeout bounds a checkpoint, including retries.
	checkpointTimeout = 4 * time.Second
	// poolSize limits the commands in flight.
	poolSize = 128
	// commandsPerWorker limits the commands in flight to one worker.
	commandsPerWorker = 4
	// defaultLease is used unless the declarations in force set a lease.
	defaultLease = 10 * time.Second
	// driftMargin, plus driftPercent of the lease, is added to the end of a
	// lease to allow for clock drift.
	driftMargin  = 500 * time.Millisecond
	driftPercent = 1
	// defaultRenewInterval is the default time between two renewals of a
	// worker's leases. The answer to a renewal also names the runs that have
	// ended.
	defaultRenewInterval = time.Second
	// usageInterval is the time between two readings of a worker's usage.
	usageInterval = 5 * time.Second
	// reportBackoff is the delay before a report is requested again after a
	// failed call.
	reportBackoff = time.Second
	// reportInterval is the longest time between two reports of a worker.
	reportInterval = 30 * time.Second
)

// Peers calls the owners of other shards.
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
	// Hosts returns the last known host list of the platform, with hosts of any
	// kind and data centre.
	Hosts func() []lister.Host
	// Declarations returns the version of the declarations in force, or nil if
	// there is none.
	Declarations func() *declarer.Version
	Authority    owner.Authority
	Policy       placer.Policy
	Recorder     recorder.Recorder
	Now          func() time.Time
	// Peers may be nil; then no tasks move to other shards.
	Peers Peers
	// Slowdown estimates for the policy by how many percent each core used by a
	// batch class slows a service down. It may be nil.
	Slowdown func(service, batch string) float64
	// SlowdownLimit is the estimated slowdown of a service, in percent, up to
	// which batch tasks are added to its worker. Zero sets no limit.
	SlowdownLimit float64
	// Interference holds the interference estimates, which are journaled for
	// later owners. It may be nil.
	Interference InterferenceModel
	// OnUsage receives each reading of a worker's usage. It may be nil.
	OnUsage func(now time.Time, worker string, usages []commander.Usage)
	// RenewInterval is the time between two renewals of a worker's leases; zero
	// means one second.
	RenewInterval time.Duration
}

// withDefaults returns a copy in which absent options have their defaults.
func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = recorder.Discard{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = defaultRenewInterval
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

// lease returns the lease that the declarations set, or the default.
func (o *Options) lease() time.Duration {
	if lease := o.declarations().Batch.Lease; lease > 0 {
		return lease
	}
	return defaultLease
}

// isOut reports whether the shard's data centre is taken out of service.
func (o *Options) isOut() bool { return o.declarations().IsOut(o.DataCentre) }
