package administrator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// maxCancelAttempts bounds the writes of one cancellation, which are repeated if
// another writer changed the record or if the outcome is unknown.
const maxCancelAttempts = 5

// Cancel implements kumquatv1.Operator. The cancellation of a whole intent is made
// durable in the intent's record before the shards are called, so that shards that
// can't be reached read it from the record later.
func (a *Administrator) Cancel(ctx context.Context, req *kumquatv1.CancelRequest) (*kumquatv1.CancelResponse, error) {
	record, err := a.recordCancellation(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := checkTasks(record, req.TaskIds); err != nil {
		return nil, err
	}
	resp := &kumquatv1.CancelResponse{}
	for _, centre := range a.targetCentres(record, req) {
		cancelled, err := a.cancelInShard(ctx, centre, req)
		if err != nil {
			resp.MissingShards = append(resp.MissingShards, centre)
		}
		resp.Cancelled += cancelled
	}
	if len(req.TaskIds) > 0 {
		return resp, nil
	}
	return a.countCancelled(ctx, record)
}

// targetCentres returns the data centres whose shards to call: those to which the
// intent's tasks were assigned. To cancel single tasks, it adds all declared ones,
// because the tasks may have moved.
func (a *Administrator) targetCentres(record *kumquatv1.IntentRecord, req *kumquatv1.CancelRequest) []string {
	var centres []string
	for _, shard := range record.Shards {
		centres = append(centres, shard.DataCentre)
	}
	if declared := a.settings.Configurations.Current().Declarations; declared != nil && len(req.TaskIds) > 0 {
		centres = append(centres, declared.DataCentreNames()...)
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// checkTasks returns a *errs.RefusedError if an ID isn't that of a task of the intent.
func checkTasks(record *kumquatv1.IntentRecord, ids []string) error {
	last := int(countTasks(record)) - 1
	for _, id := range ids {
		number, err := strconv.Atoi(strings.TrimPrefix(id, record.Id+"/"))
		if err == nil && number >= 0 && number <= last && id == fmt.Sprintf("%s/%d", record.Id, number) {
			continue
		}
		return &errs.RefusedError{
			What:   "cancellation of " + id,
			Why:    "no task of that name belongs to intent " + record.Id,
			Remedy: fmt.Sprintf("name tasks from %s/0 to %[1]s/%d", record.Id, last),
		}
	}
	return nil
}

// countCancelled returns the number of a cancelled intent's tasks that have neither
// finished nor been refused, in whichever shard they are now.
func (a *Administrator) countCancelled(ctx context.Context, record *kumquatv1.IntentRecord) (*kumquatv1.CancelResponse, error) {
	version, err := a.current()
	if err != nil {
		return nil, err
	}
	s := a.surveyShards(ctx, version.Declarations, &kumquatv1.ShardStatusRequest{Intent: record.Id})
	counts := s.counts()
	remaining := countTasks(record) -
		counts[kumquatv1.TaskState_TASK_STATE_FINISHED.String()] -
		counts[kumquatv1.TaskState_TASK_STATE_REFUSED.String()]
	return &kumquatv1.CancelResponse{Cancelled: remaining, MissingShards: s.missing}, nil
}

// recordCancellation marks the record of a whole intent as cancelled and returns it.
// It leaves the record alone for single tasks, whose cancellation is kept by their
// shards only.
func (a *Administrator) recordCancellation(ctx context.Context, req *kumquatv1.CancelRequest) (*kumquatv1.IntentRecord, error) {
	for range maxCancelAttempts {
		record, revision, err := a.load(ctx, req.Intent)
		if err != nil {
			return nil, cancelError(req.Intent, err)
		}
		if len(req.TaskIds) > 0 || record.CancelledUnixMillis != 0 {
			return record, nil
		}
		record.CancelledUnixMillis = a.settings.Now().UnixMilli()
		err = a.replace(ctx, record, revision)
		var unknown *errs.UnknownOutcomeError
		if errors.Is(err, errs.ErrConflict) || errors.As(err, &unknown) {
			continue
		}
		if err == nil {
			a.settings.Recorder.Record(a.settings.Now(), EventIntentCancelled, recorder.Fields{"intent": req.Intent})
		}
		return record, err
	}
	return nil, &errs.UnknownOutcomeError{Op: "cancellation of " + req.Intent, Cause: errs.ErrConflict}
}

// cancelError returns the error of a cancellation whose intent could not be loaded,
// which is a refusal if the intent doesn't exist.
func cancelError(intent string, err error) error {
	if !errors.Is(err, errs.ErrNotFound) {
		return err
	}
	return noSuchIntent("cancellation of ", intent)
}

// replace writes a changed record if the stored one still has the given revision.
func (a *Administrator) replace(ctx context.Context, record *kumquatv1.IntentRecord, revision storer.Revision) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode intent %s: %w", record.Id, err)
	}
	_, err = a.settings.Store.CompareAndSwap(ctx, storer.Swap{
		Key:      IntentPrefix + record.Id,
		Expected: revision,
		Value:    value,
	})
	return err
}

// cancelInShard calls the owner of one shard and returns the number of tasks that it
// cancelled.
func (a *Administrator) cancelInShard(ctx context.Context, centre string, req *kumquatv1.CancelRequest) (int32, error) {
	partition := owner.ShardPartition(centre)
	peer, ok := a.settings.OwnerClient(partition)
	if !ok {
		return 0, fmt.Errorf("%s has no owner: %w", partition, errs.ErrNotOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, shardTimeout)
	defer cancel()
	resp, err := peer.CancelTasks(ctx, &kumquatv1.CancelTasksRequest{
		Shard:   string(partition),
		Intent:  req.Intent,
		TaskIds: req.TaskIds,
	})
	if err != nil {
		return 0, err
	}
	return resp.Cancelled, nil
}
