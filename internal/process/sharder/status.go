package sharder

import (
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// stateName returns the name of a state in counts, for example "pending".
func stateName(state kumquatv1.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "TASK_STATE_"))
}

// Status returns the tasks and workers of the shard. The counts cover all
// tasks, or only those of the requested intent.
func (s *Sharder) Status(request *kumquatv1.ShardStatusRequest) *kumquatv1.ShardStatusResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &kumquatv1.ShardStatusResponse{
		Shard:  string(s.options.Shard),
		Epoch:  int64(s.options.Epoch),
		Counts: make(map[string]int32),
	}
	group := s.table.entries
	if request.GetIntent() != "" {
		group = s.table.byIntent[request.GetIntent()]
	}
	for _, e := range group {
		response.Counts[stateName(e.task.State)]++
	}
	s.countForgotten(response.Counts, request.GetIntent())
	if request.GetIncludeTasks() {
		for _, e := range sorted(group) {
			response.Tasks = append(response.Tasks, s.taskStatus(e, s.options.Now()))
		}
	}
	for _, w := range s.workersByName() {
		response.Workers = append(response.Workers, s.workerStatus(w))
	}
	return response
}

// taskStatus returns a task with the size that placement uses for it.
func (s *Sharder) taskStatus(e *entry, now time.Time) *kumquatv1.Task {
	status := e.task.Proto(string(s.options.Shard))
	if e.task.Assigned() {
		status.Size = resourcesProto(s.size(e, now))
		status.ThrottlePercent = int32(e.effectiveRoomThrottle())
	}
	return status
}

// countForgotten adds the numbers of forgotten tasks of one intent, or of all
// intents.
func (s *Sharder) countForgotten(counts map[string]int32, intent string) {
	for id, known := range s.table.intents {
		if intent != "" && id != intent {
			continue
		}
		for state, n := range known.GetForgotten() {
			counts[state] += n
		}
	}
}

func (s *Sharder) workerStatus(w *worker) *kumquatv1.WorkerStatus {
	now := s.options.Now()
	_, quarantined := s.ledger.Quarantined(w.name)
	return &kumquatv1.WorkerStatus{
		Worker:      w.name,
		Rack:        w.host.Rack,
		DataCentre:  w.host.DataCentre,
		Capacity:    resourcesProto(w.capacity()),
		Committed:   resourcesProto(s.used(w, nil, now)),
		Quarantined: quarantined,
		Reachable:   w.reachable() && w.isListed,
		Tasks:       int32(len(s.table.byWorker[w.name])),
	}
}

func resourcesProto(r placer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{MilliCores: r.MilliCores, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// Intents returns the number of tasks by state of each intent in the shard.
func (s *Sharder) Intents() []*kumquatv1.IntentStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*kumquatv1.IntentStatus
	for id, known := range s.table.intents {
		status := &kumquatv1.IntentStatus{
			Intent: id,
			Team:   known.GetIntent().GetTeam(),
			Kind:   known.GetIntent().GetKind().String(),
			Counts: make(map[string]int32),
		}
		for _, e := range s.table.byIntent[id] {
			status.Counts[stateName(e.task.State)]++
		}
		for state, n := range known.GetForgotten() {
			status.Counts[state] += n
		}
		list = append(list, status)
	}
	return list
}
