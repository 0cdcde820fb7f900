package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/process/administrator"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/sharder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
)

// measurementBacklog is the maximum number of queued measurements of a shard.
const measurementBacklog = 64

// A measurement is what a worker reported about the resource usage of its tasks.
type measurement struct {
	now    time.Time
	worker string
	usages []commander.Usage
}

// isolation protects the services of a shard from interference by its batch tasks. It lives as long
// as the shard is open.
//
// Lock order: the shard's lock is taken before mu.
type isolation struct {
	daemon  *Daemon
	pending chan measurement

	mu      sync.Mutex
	learner *isolator.Learner
	guard   *isolator.Guard
	intents map[string]*kumquatv1.IntentRecord // decoded records by intent ID
}

var _ sharder.InterferenceModel = (*isolation)(nil)

func newIsolation(d *Daemon) *isolation {
	learner := isolator.NewLearner()
	return &isolation{
		daemon:  d,
		pending: make(chan measurement, measurementBacklog),
		learner: learner,
		guard:   isolator.NewGuard(learner),
		intents: make(map[string]*kumquatv1.IntentRecord),
	}
}

// observe queues a measurement. The shard calls it with its lock held, so it never blocks: a
// measurement that finds the queue full is dropped, and a later one takes its place.
func (i *isolation) observe(now time.Time, worker string, usages []commander.Usage) {
	select {
	case i.pending <- measurement{now, worker, usages}:
	default:
	}
}

// slowdown returns the estimate of by how many percent each core used by a batch class slows a
// service class down.
func (i *isolation) slowdown(service, batch string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learner.Slowdown(service, batch, time.Now())
}

// Estimates implements sharder.InterferenceModel.
func (i *isolation) Estimates() []isolator.Estimate {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learner.Estimates()
}

// Restore implements sharder.InterferenceModel.
func (i *isolation) Restore(known []isolator.Estimate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.learner.Restore(known)
}

// run processes the queued measurements until the context ends.
func (i *isolation) run(ctx context.Context, shard *sharder.Sharder) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-i.pending:
			i.apply(shard, m)
		}
	}
}

// apply learns from a measurement and throttles or evicts tasks of the shard as the guard advises.
func (i *isolation) apply(shard *sharder.Sharder, m measurement) {
	i.mu.Lock()
	advice := i.guard.Observe(m.worker, i.readings(m.usages), m.now)
	i.mu.Unlock()
	if len(advice.Throttles)+len(advice.Evictions) == 0 {
		return
	}
	if _, err := shard.LimitInterference(advice.Throttles, advice.Evictions); err != nil {
		i.daemon.recorder.Record(m.now, EventAdviceRefused, recorder.Fields{"worker": m.worker, "reason": err.Error()})
	}
}

// readings converts a worker's usages to readings, which have the tasks' classes too. Usages of
// tasks whose intent isn't known are left out.
func (i *isolation) readings(usages []commander.Usage) []isolator.Reading {
	readings := make([]isolator.Reading, 0, len(usages))
	for _, usage := range usages {
		intent, ok := i.intentOf(usage.ID.Task)
		if !ok {
			continue
		}
		readings = append(readings, isolator.Reading{
			Task:            usage.ID.Task,
			Class:           intent.Class,
			LatencyCritical: i.isLatencyCritical(intent),
			MilliCores:      usage.Resources.MilliCores,
			SpeedPercent:    usage.SpeedPercent,
			At:              usage.At,
		})
	}
	return readings
}

// intentOf returns the intent of a task, whose ID has the form "<intent>/<number>".
func (i *isolation) intentOf(task string) (*kumquatv1.IntentRecord, bool) {
	id, _, _ := strings.Cut(task, "/")
	if known, ok := i.intents[id]; ok {
		return known, true
	}
	entry, ok := i.daemon.watcher.Entry(administrator.IntentPrefix + id)
	if !ok {
		return nil, false
	}
	record := &kumquatv1.IntentRecord{}
	if proto.Unmarshal(entry.Value, record) != nil {
		return nil, false
	}
	i.intents[id] = record
	return record, true
}

// isLatencyCritical reports whether the tasks of an intent are services: tasks that are kept
// running, and those of a class declared as latency-critical.
func (i *isolation) isLatencyCritical(intent *kumquatv1.IntentRecord) bool {
	if intent.Kind == kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING {
		return true
	}
	declared := i.daemon.configurer.Declarations()
	if declared == nil {
		return false
	}
	class, ok := declared.Class(intent.Class)
	return ok && class.LatencyCritical
}
