// Package administrator serves the operators' tool.
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
	// declarationsDocumentName stands for the declarations' file in errors.
	declarationsDocumentName = "declarations"
	// shardTimeout bounds one question to the owner of a shard.
	shardTimeout = 3 * time.Second
	// ownerGrace is the time after which a shard whose owner died has another.
	ownerGrace = 6 * time.Second
	// surveyPause is the time between two surveys while no shard answers.
	surveyPause = 200 * time.Millisecond
)

// A Change is the outcome of an accepted change of the declarations.
type Change struct {
	Version     int64
	Unchanged   bool
	Unconfirmed []string
}

// Configurations keeps the declarations.
type Configurations interface {
	Current() declarer.Version
	Apply(ctx context.Context, document []byte, base int64) (Change, error)
	SetDataCentre(ctx context.Context, name string, out bool) (Change, error)
}

// Members tells which daemons there are, this one included.
type Members interface {
	Daemons(ctx context.Context, now time.Time) []*kumquatv1.DaemonStatus
	Sources() []merger.Source
}

// A Releaser records that daemons are dead.
type Releaser interface {
	Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (*kumquatv1.ReleaseResponse, error)
}

// Settings are what an Administrator needs.
type Settings struct {
	Releaser       Releaser
	Store          storer.Store
	Configurations Configurations
	Members        Members
	// OwnerClient returns the owner of a partition, this daemon included.
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

// current returns the version in force or the error of a daemon without one.
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

// A census is what the owners of all shards report.
type census struct {
	shards  []*kumquatv1.ShardStatusResponse
	missing []string
}

// statePrefix is what the names of states begin with; shards leave it out.
const statePrefix = "TASK_STATE_"

// counts returns the tasks by state, forgotten ones included. A task that was
// handed to another shard is counted there.
func (c census) counts() map[string]int32 {
	counts := make(map[string]int32)
	for _, shard := range c.shards {
		for name, count := range shard.Counts {
			state := statePrefix + strings.ToUpper(name)
			if state != kumquatv1.TaskState_TASK_STATE_MOVED.String() && count > 0 {
				counts[state] += count
			}
		}
	}
	return counts
}

// survey asks the owners of all declared shards at once.
func (a *Administrator) survey(ctx context.Context, d *declarer.Declarations, req *kumquatv1.ShardStatusRequest) census {
	centres := d.DataCentreNames()
	answers := make([]*kumquatv1.ShardStatusResponse, len(centres))
	var group sync.WaitGroup
	for i, centre := range centres {
		group.Go(func() { answers[i] = a.askShard(ctx, centre, req) })
	}
	group.Wait()

	var c census
	for i, answer := range answers {
		if answer == nil {
			c.missing = append(c.missing, centres[i])
			continue
		}
		c.shards = append(c.shards, answer)
	}
	return c
}

// surveyPatiently repeats a survey in which no shard answers for as long as a
// shard may be without an owner.
func (a *Administrator) surveyPatiently(ctx context.Context, d *declarer.Declarations, req *kumquatv1.ShardStatusRequest) census {
	ctx, cancel := context.WithTimeout(ctx, ownerGrace)
	defer cancel()
	for {
		c := a.survey(ctx, d, req)
		if len(c.shards) > 0 || !pauser.Sleep(ctx, surveyPause) {
			return c
		}
	}
}

// askShard returns nil if the owner of a shard doesn't answer.
func (a *Administrator) askShard(ctx context.Context, centre string, req *kumquatv1.ShardStatusRequest) *kumquatv1.ShardStatusResponse {
	partition := owner.ShardPartition(centre)
	peer, ok := a.settings.OwnerClient(partition)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shardTimeout)
	defer cancel()
	answer, err := peer.ShardStatus(ctx, &kumquatv1.ShardStatusRequest{
		Shard:        string(partition),
		Intent:       req.Intent,
		IncludeTasks: req.IncludeTasks,
	})
	if err != nil {
		return nil
	}
	return answer
}

// Release implements kumquatv1.Operator.
func (a *Administrator) Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (*kumquatv1.ReleaseResponse, error) {
	return a.settings.Releaser.Release(ctx, req)
}

// Timeline implements kumquatv1.Operator.
func (a *Administrator) Timeline(ctx context.Context, req *kumquatv1.TimelineRequest) (*kumquatv1.TimelineResponse, error) {
	return merger.Merge(ctx, a.settings.Members.Sources(), req), nil
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
