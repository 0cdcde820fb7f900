package sharder

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Events of a shard.
const (
	// EventTaskAssigned records that a task is bound to a worker.
	EventTaskAssigned recorder.Number = 2100
	// EventTaskStarted records that a worker has answered a start.
	EventTaskStarted recorder.Number = 2101
	// EventTaskAdopted records a run that a new owner found at its worker.
	EventTaskAdopted recorder.Number = 2102
	// EventTaskEnded records the end of a task: finished, cancelled or refused.
	EventTaskEnded recorder.Number = 2103
	// EventTaskResumes records that a task waits for its next run.
	EventTaskResumes recorder.Number = 2104
	// EventTaskLapsed records a run whose lease has provably lapsed.
	EventTaskLapsed recorder.Number = 2105
	// EventEvicting records that a task is to leave its worker.
	EventEvicting recorder.Number = 2106
	// EventCheckpointFailed records a checkpoint that failed or took too long.
	EventCheckpointFailed recorder.Number = 2107
	// EventThrottled records a change of the processors withheld from a task.
	EventThrottled recorder.Number = 2108
	// EventTaskMoved records that another shard has confirmed the move of a task.
	EventTaskMoved recorder.Number = 2109
	// EventTaskTakenIn records a task that was moved to this shard.
	EventTaskTakenIn recorder.Number = 2110
	// EventIntentIngested records that the shard has added its tasks of an
	// intent.
	EventIntentIngested recorder.Number = 2111
	// EventTasksCancelled records a call that cancelled tasks.
	EventTasksCancelled recorder.Number = 2112
	// EventWorkerQuarantined records the start of a worker's quarantine, in which
	// it gets no new tasks.
	EventWorkerQuarantined recorder.Number = 2113
	// EventWorkerReleased records the end of a worker's quarantine.
	EventWorkerReleased recorder.Number = 2114
	// EventWorkerUnreachable records a worker that stopped answering.
	EventWorkerUnreachable recorder.Number = 2115
	// EventWorkerReachable records a worker that answers again.
	EventWorkerReachable recorder.Number = 2116
	// EventStray records a run at a worker that is not the current run of a
	// task.
	EventStray recorder.Number = 2117
	// EventJournalDelayed records that an append to the journal failed; its
	// changes wait for the store.
	EventJournalDelayed recorder.Number = 2118
	// EventSuperseded records that a later owner has fenced this one.
	EventSuperseded recorder.Number = 2119
	// EventDataCentreLeaving records that the shard's data centre is taken out of
	// service.
	EventDataCentreLeaving recorder.Number = 2120
	// EventDataCentreReturned records that the data centre is in service again.
	EventDataCentreReturned recorder.Number = 2121
)
