package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// statusCmd shows intents, tasks, workers and daemons.
type statusCmd struct {
	base
	Tasks   bool          `long:"tasks" description:"Show each task"`
	Workers bool          `long:"workers" description:"Show each worker"`
	Wait    bool          `long:"wait" description:"Wait until the tasks of the intent have ended"`
	For     time.Duration `long:"for" default:"1h" validate:"min=1ms" value-name:"DURATION" description:"Maximum time to wait with --wait"`
	Args    struct {
		Intent string `positional-arg-name:"INTENT" description:"Only this intent"`
	} `positional-args:"yes"`
}

func (*statusCmd) describe() string {
	return "Show intents with their tasks by state, the daemons with the configuration version that each has in force, " +
		"and on request tasks and workers. Shards whose owners did not answer are named."
}

func (c *statusCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	if c.Wait {
		if c.Args.Intent == "" {
			return &usageError{"--wait needs an INTENT"}
		}
		last, err := waitForIntent(ctx, a, client, c.Args.Intent, c.For)
		if last != nil && a.globals.Output == outputJSON {
			err = errors.Join(a.print(last, nil), err)
		}
		return err
	}
	answer, err := call(ctx, client, readOnly, "status", kumquatv1.Operator.Status,
		&kumquatv1.StatusRequest{Intent: c.Args.Intent, IncludeTasks: c.Tasks})
	if err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) { c.write(w, answer) })
}

func (c *statusCmd) write(w io.Writer, status *kumquatv1.StatusResponse) {
	writeMissing(w, status)
	t := newTable(w, "INTENT", "TEAM", "KIND", "TASKS")
	for _, intent := range status.GetIntents() {
		t.row(intent.GetIntent(), intent.GetTeam(), kindName(intent.GetKind()), formatCounts(intent.GetCounts()))
	}
	flush(t)
	if c.Tasks {
		printf(w, "\n")
		writeTasks(w, status.GetTasks())
	}
	if c.Workers {
		printf(w, "\n")
		writeWorkers(w, status.GetWorkers())
	}
	if c.Args.Intent == "" {
		printf(w, "\n")
		writeDaemons(w, status)
	}
}

// kindName returns a kind of task as it is written in intents: "TASK_KIND_RUN_NOW" as
// "runNow". It returns unknown names unchanged.
func kindName(name string) string {
	switch name {
	case kumquatv1.TaskKind_TASK_KIND_RUN_NOW.String():
		return string(declarer.KindRunNow)
	case kumquatv1.TaskKind_TASK_KIND_RUN_BY.String():
		return string(declarer.KindRunBy)
	case kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING.String():
		return string(declarer.KindKeepRunning)
	default:
		return name
	}
}

func writeMissing(w io.Writer, status *kumquatv1.StatusResponse) {
	if missing := status.GetMissingShards(); len(missing) > 0 {
		printf(w, "INCOMPLETE: no answer from the owner of %s\n\n", strings.Join(missing, ", "))
	}
}

func writeTasks(w io.Writer, tasks []*kumquatv1.Task) {
	t := newTable(w, "TASK", "STATE", "RUN", "WORKER", "RESULT")
	for _, task := range tasks {
		t.row(task.GetId(), stateName(task.GetState().String()), fmt.Sprint(task.GetRun()), task.GetWorker(), formatResult(task))
	}
	flush(t)
}

// formatResult returns a task's result, or the reason why it has none.
func formatResult(task *kumquatv1.Task) string {
	if len(task.GetResult()) > 0 {
		return fmt.Sprintf("%q", task.GetResult())
	}
	return task.GetReason()
}

func writeWorkers(w io.Writer, workers []*kumquatv1.WorkerStatus) {
	t := newTable(w, "WORKER", "DATA CENTRE", "RACK", "TASKS", "CORES", "MEMORY GB", "STATE")
	for _, worker := range workers {
		t.row(worker.GetWorker(), worker.GetDataCentre(), worker.GetRack(), fmt.Sprint(worker.GetTasks()),
			formatCores(worker.GetCommitted())+"/"+formatCores(worker.GetCapacity()),
			formatMemory(worker.GetCommitted())+"/"+formatMemory(worker.GetCapacity()),
			workerState(worker))
	}
	flush(t)
}

func workerState(worker *kumquatv1.WorkerStatus) string {
	switch {
	case !worker.GetReachable():
		return "unreachable"
	case worker.GetQuarantined():
		return "quarantined"
	default:
		return "ok"
	}
}

func writeDaemons(w io.Writer, status *kumquatv1.StatusResponse) {
	printf(w, "Configuration version %d\n", status.GetConfigurationVersion())
	t := newTable(w, "DAEMON", "DATA CENTRE", "ADDRESS", "VERSION", "STATE", "PARTITIONS")
	for _, daemon := range status.GetDaemons() {
		version := fmt.Sprint(daemon.GetConfigurationVersion())
		if !daemon.GetReachable() {
			version = "-" // The last version that it reported may be out of date.
		}
		t.row(daemon.GetIncarnation().GetDaemon(), daemon.GetDataCentre(), daemon.GetAddress(),
			version, daemonState(daemon), fmt.Sprint(len(daemon.GetPartitions())))
	}
	flush(t)
}

func daemonState(daemon *kumquatv1.DaemonStatus) string {
	switch {
	case !daemon.GetReachable():
		return "unreachable"
	case daemon.GetLeaving():
		return "leaving"
	default:
		return "ok"
	}
}
