package administrator

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Status implements kumquatv1.Operator.
func (a *Administrator) Status(ctx context.Context, req *kumquatv1.StatusRequest) (*kumquatv1.StatusResponse, error) {
	version, err := a.current()
	if err != nil {
		return nil, err
	}
	c := a.survey(ctx, version.Declarations, &kumquatv1.ShardStatusRequest{Intent: req.Intent, IncludeTasks: true})
	resp := &kumquatv1.StatusResponse{
		Daemons:              a.settings.Members.Daemons(ctx, a.settings.Now()),
		ConfigurationVersion: version.Number,
		MissingShards:        c.missing,
	}
	for _, shard := range c.shards {
		resp.Workers = append(resp.Workers, shard.Workers...)
		resp.Tasks = append(resp.Tasks, shard.Tasks...)
	}
	resp.Intents = summarise(resp.Tasks)
	if req.Intent != "" {
		if err := a.complete(ctx, req.Intent, c, resp); err != nil {
			return nil, err
		}
	}
	if !req.IncludeTasks {
		resp.Tasks = nil
	}
	return resp, nil
}

// complete counts what the tasks of one intent don't show: those that were
// forgotten long after their end, and those that no shard has taken in yet. It
// returns a *errs.RefusedError if there is no such intent.
func (a *Administrator) complete(ctx context.Context, intent string, c census, resp *kumquatv1.StatusResponse) error {
	counts := c.counts()
	if len(resp.Intents) > 0 {
		resp.Intents[0].Counts = counts
		return nil
	}
	record, _, err := a.load(ctx, intent)
	if errors.Is(err, errs.ErrNotFound) {
		return noSuchIntent("status of ", intent)
	}
	if err == nil {
		if len(counts) == 0 && len(c.missing) == 0 {
			counts[kumquatv1.TaskState_TASK_STATE_PENDING.String()] = countTasks(record)
		}
		status := &kumquatv1.IntentStatus{Intent: intent, Team: record.Team, Kind: record.Kind.String(), Counts: counts}
		resp.Intents = append(resp.Intents, status)
	}
	// While the store is out, what the shards know is all there is to say.
	return nil
}

// noSuchIntent refuses a call about an intent that was never confirmed.
func noSuchIntent(what, intent string) error {
	return &errs.RefusedError{
		What:   what + intent,
		Why:    "no intent of that name is known; long after their end they are dropped",
		Remedy: "see the names with `kumquat status`",
	}
}

// summarise counts the tasks of each intent by state. A task that was handed
// to another shard is counted there.
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
