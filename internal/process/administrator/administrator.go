// Package administrator implements the operators' service: the declarations, the
// plans, confirmations and cancellations of intents, the status and the timeline.
package administrator

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/merger"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// declarationsDocumentName is the name of the document in parse errors.
	declarationsDocumentName = "declarations"
	// shardTimeout bounds one call to the owner of a shard.
	shardTimeout = 3 * time.Second
	// failoverTimeout is the time within which a shard whose owner died has a new
	// owner.
	failoverTimeout = 6 * time.Second
	// surveyRetryDelay is the delay between two surveys while no shard answers.
	surveyRetryDelay = 200 * time.Millisecond
)

// A Change describes an accepted change of the declarations: the version that holds
// the document, whether the document was stored already, and the members that have
// not confirmed the version in time.
type Change struct {
	Version     int64
	Unchanged   bool
	Unconfirmed []string
}

// Configurations returns and changes the declarations.
type Configurations interface {
	// Current returns the version in force. Its Declarations are nil if there is
	// none.
	Current() declarer.Version
	// Apply replaces the declarations if base is the stored version.
	Apply(ctx context.Context, document []byte, base int64) (Change, error)
	// SetDataCentre takes a data centre out of service or brings it back.
	SetDataCentre(ctx context.Context, name string, out bool) (Change, error)
}

// Members returns the status of all daemons and the sources of their events, this
// daemon included.
type Members interface {
	Daemons(ctx context.Context, now time.Time) []*kumquatv1.DaemonStatus
	EventSources() []merger.Source
}

// A Releaser declares daemons dead, so that their partitions can be taken over.
type Releaser interface {
	Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (*kumquatv1.ReleaseResponse, error)
}

// Settings are the dependencies of an Administrator.
type Settings struct {
	Releaser       Releaser
	Store          storer.Store
	Configurations Configurations
	Members        Members
	// OwnerClient returns a client for the owner of a partition, which may be
	// this daemon. It returns false if the partition has no known owner.
	OwnerClient func(partition owner.Partition) (kumquatv1.Peer, bool)
	Policy      placer.Policy
	Recorder    recorder.Recorder
	Now         func() time.Time
}

// An Administrator implements the operators' service.
type Administrator struct {
	settings Settings
}

var _ kumquatv1.Operator = (*Administrator)(nil)

// New returns an administrator.
func New(settings Settings) *Administrator {
	return &Administrator{settings: settings}
}

// current returns the version of the declarations in force. It returns a
// *errs.RefusedError if there is none.
func (a *Administrator) current() (*declarer.Version, error) {
	version := a.settings.Configurations.Current()
	if version.Declarations == nil {
		return nil, &errs.RefusedError{
			What:   "the call",
			Why:    "this daemon has no declarations in force yet",
			Remedy: "apply a declarations document, or wait until the store answers",
		}
	}
	return &version, nil
}

// A survey holds the status reports of the shards' owners, and the data centres of
// the shards without a report.
type survey struct {
	shards  []*kumquatv1.ShardStatusResponse
	missing []string
}

// statePrefix is the common prefix of the state names, which shards omit.
const statePrefix = "TASK_STATE_"

// counts returns the number of tasks by state, including tasks that the shards have
// deleted. Tasks in state MOVED are left out, because the shards that they moved to
// count them.
func (s survey) counts() map[string]int32 {
	counts := make(map[string]int32)
	for _, shard := range s.shards {
		for name, count := range shard.Counts {
			state := statePrefix + strings.ToUpper(name)
			if state != kumquatv1.TaskState_TASK_STATE_MOVED.String() && count > 0 {
				counts[state] += count
			}
		}
	}
	return counts
}

// surveyShards concurrently asks the owners of all declared shards for their status.
func (a *Administrator) surveyShards(ctx context.Context, d *declarer.Declarations, req *kumquatv1.ShardStatusRequest) survey {
	centres := d.DataCentreNames()
	responses := make([]*kumquatv1.ShardStatusResponse, len(centres))
	var group sync.WaitGroup
	for i, centre := range centres {
		group.Go(func() { responses[i] = a.shardStatus(ctx, centre, req) })
	}
	group.Wait()

	var s survey
	for i, response := range responses {
		if response == nil {
			s.missing = append(s.missing, centres[i])
			continue
		}
		s.shards = append(s.shards, response)
	}
	return s
}

// surveyWithRetry repeats a survey until at least one shard answers or
// failoverTimeout has passed, as a shard may have no owner during a failover.
func (a *Administrator) surveyWithRetry(ctx context.Context, d *declarer.Declarations, req *kumquatv1.ShardStatusRequest) survey {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	for {
		s := a.surveyShards(ctx, d, req)
		if len(s.shards) > 0 || !pauser.Sleep(ctx, surveyRetryDelay) {
			return s
		}
	}
}

// shardStatus returns the status of a data centre's shard, or nil if its owner is
// unknown or doesn't answer.
func (a *Administrator) shardStatus(ctx context.Context, centre string, req *kumquatv1.ShardStatusRequest) *kumquatv1.ShardStatusResponse {
	partition := owner.ShardPartition(centre)
	peer, ok := a.settings.OwnerClient(partition)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shardTimeout)
	defer cancel()
	response, err := peer.ShardStatus(ctx, &kumquatv1.ShardStatusRequest{
		Shard:        string(partition),
		Intent:       req.Intent,
		IncludeTasks: req.IncludeTasks,
	})
	if err != nil {
		return nil
	}
	return response
}

// Release implements kumquatv1.Operator.
func (a *Administrator) Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (*kumquatv1.ReleaseResponse, error) {
	return a.settings.Releaser.Release(ctx, req)
}

// Timeline implements kumquatv1.Operator.
func (a *Administrator) Timeline(ctx context.Context, req *kumquatv1.TimelineRequest) (*kumquatv1.TimelineResponse, error) {
	return merger.Merge(ctx, a.settings.Members.EventSources(), req), nil
}

// GetDeclarations implements kumquatv1.Operator.
func (a *Administrator) GetDeclarations(context.Context, *kumquatv1.GetDeclarationsRequest) (*kumquatv1.GetDeclarationsResponse, error) {
	version := a.settings.Configurations.Current()
	return &kumquatv1.GetDeclarationsResponse{Version: version.Number, Document: string(version.Document)}, nil
}

// Apply implements kumquatv1.Operator.
func (a *Administrator) Apply(ctx context.Context, req *kumquatv1.ApplyRequest) (*kumquatv1.ApplyResponse, error) {
	wanted, err := declarer.Parse(declarationsDocumentName, []byte(req.Document))
	if err != nil {
		return nil, err
	}
	if err := a.checkRemovals(ctx, wanted); err != nil {
		return nil, err
	}
	change, err := a.settings.Configurations.Apply(ctx, []byte(req.Document), req.BaseVersion)
	if err != nil {
		return nil, err
	}
	return &kumquatv1.ApplyResponse{
		Version:     change.Version,
		Unchanged:   change.Unchanged,
		Unconfirmed: change.Unconfirmed,
	}, nil
}

// SetDataCentre implements kumquatv1.Operator.
func (a *Administrator) SetDataCentre(ctx context.Context, req *kumquatv1.SetDataCentreRequest) (*kumquatv1.SetDataCentreResponse, error) {
	change, err := a.settings.Configurations.SetDataCentre(ctx, req.DataCentre, req.Out)
	if err != nil {
		return nil, err
	}
	return &kumquatv1.SetDataCentreResponse{
		Version:     change.Version,
		Unchanged:   change.Unchanged,
		Unconfirmed: change.Unconfirmed,
	}, nil
}
