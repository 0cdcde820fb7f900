package administrator

import (
	"cmp"
	"context"
	"slices"

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
		Daemons:              a.settings.Members.Daemons(a.settings.Now()),
		ConfigurationVersion: version.Number,
		MissingShards:        c.missing,
	}
	for _, shard := range c.shards {
		resp.Workers = append(resp.Workers, shard.Workers...)
		resp.Tasks = append(resp.Tasks, shard.Tasks...)
	}
	resp.Intents = summarise(resp.Tasks)
	if !req.IncludeTasks {
		resp.Tasks = nil
	}
	return resp, nil
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
