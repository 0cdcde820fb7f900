package administrator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Status implements kumquatv1.Operator.
func (a *Administrator) Status(ctx context.Context, req *kumquatv1.StatusRequest) (*kumquatv1.StatusResponse, error) {
	version, err := a.current()
	if err != nil {
		return nil, err
	}
	s := a.surveyShards(ctx, version.Declarations, &kumquatv1.ShardStatusRequest{Intent: req.Intent, IncludeTasks: true})
	resp := &kumquatv1.StatusResponse{
		Daemons:              a.settings.Members.Daemons(ctx, a.settings.Now()),
		ConfigurationVersion: version.Number,
		MissingShards:        s.missing,
	}
	for _, shard := range s.shards {
		resp.Workers = append(resp.Workers, shard.Workers...)
		resp.Tasks = append(resp.Tasks, shard.Tasks...)
	}
	resp.Intents = summarise(resp.Tasks)
	if req.Intent != "" {
		if err := a.countUnlistedTasks(ctx, req.Intent, s, resp); err != nil {
			return nil, err
		}
	}
	if !req.IncludeTasks {
		resp.Tasks = nil
	}
	return resp, nil
}

// ingestionTime is the time after the confirmation of an intent within which the
// shards ingest it. An intent that no shard knows later than that has been dropped.
const ingestionTime = time.Minute

// countUnlistedTasks adds to the counts of one intent's status the tasks that the
// shards don't list one by one: those that a shard deleted some time after their end,
// and those that no shard has ingested yet. It returns a *errs.RefusedError if there is
// no such intent.
func (a *Administrator) countUnlistedTasks(ctx context.Context, intent string, s survey, resp *kumquatv1.StatusResponse) error {
	counts := s.counts()
	if len(resp.Intents) > 0 {
		resp.Intents[0].Counts = counts
		return nil
	}
	record, _, err := a.load(ctx, intent)
	if errors.Is(err, errs.ErrNotFound) {
		return noSuchIntent("status of ", intent)
	}
	if err == nil {
		age := a.settings.Now().Sub(time.UnixMilli(record.ConfirmedUnixMillis))
		if len(counts) == 0 && len(s.missing) == 0 && age < ingestionTime {
			counts[kumquatv1.TaskState_TASK_STATE_PENDING.String()] = countTasks(record)
		}
		status := &kumquatv1.IntentStatus{Intent: intent, Team: record.Team, Kind: record.Kind.String(), Counts: counts}
		resp.Intents = append(resp.Intents, status)
	}
	// After any other error of the store, the response has only what the shards
	// reported.
	return nil
}

// noSuchIntent returns the refusal of a call about an unconfirmed intent.
func noSuchIntent(what, intent string) error {
	return &errs.RefusedError{
		What:   what + intent,
		Why:    "no intent of that name was confirmed",
		Remedy: "see the names with `kumquat status`",
	}
}

// summarise counts the tasks of each intent by state. Tasks in state MOVED are left
// out, because the shards that they moved to count them.
func summarise(tasks []*kumquatv1.Task) []*kumquatv1.IntentStatus {
	byID := make(map[string]*kumquatv1.IntentStatus)
	for _, task := range tasks {
		if task.State == kumquatv1.TaskState_TASK_STATE_MOVED {
			continue
		}
		status, ok := byID[task.Intent]
		if !ok {
			status = &kumquatv1.IntentStatus{
				Intent: task.Intent,
				Team:   task.Team,
				Kind:   task.Kind.String(),
				Counts: make(map[string]int32),
			}
			byID[task.Intent] = status
		}
		status.Counts[task.State.String()]++
	}
	intents := make([]*kumquatv1.IntentStatus, 0, len(byID))
	for _, status := range byID {
		intents = append(intents, status)
	}
	slices.SortFunc(intents, func(x, y *kumquatv1.IntentStatus) int { return cmp.Compare(x.Intent, y.Intent) })
	return intents
}
