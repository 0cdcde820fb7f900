package sharder

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

// replay applies one record of the journal to the state.
func (s *Sharder) replay(record *kumquatv1.Record) {
	switch change := record.GetChange().(type) {
	case *kumquatv1.Record_ShardIntent:
		s.replayIntent(change.ShardIntent)
	case *kumquatv1.Record_Task:
		s.replayTask(lifecycler.FromProto(change.Task), false)
	case *kumquatv1.Record_Progress:
		if e, ok := s.table.entries[change.Progress.GetTask()]; ok {
			s.replayTask(e.task.WithProgress(change.Progress), e.isImplied)
		}
	case *kumquatv1.Record_RemovedTask:
		s.table.remove(change.RemovedTask)
	case *kumquatv1.Record_Quarantine:
		s.replayQuarantine(change.Quarantine)
	case *kumquatv1.Record_LeaseBound:
		s.leaseBound = time.Duration(change.LeaseBound.GetLeaseMillis()) * time.Millisecond
	case *kumquatv1.Record_RemovedIntent:
		delete(s.table.intents, change.RemovedIntent.GetIntent())
		s.ingestedRevision = max(s.ingestedRevision, change.RemovedIntent.GetRevision())
	case *kumquatv1.Record_Estimates:
		s.replayEstimates(change.Estimates)
	}
}

// replayTask replaces the state of a task.
func (s *Sharder) replayTask(task lifecycler.Task, implied bool) {
	if e, ok := s.table.entries[task.ID]; ok {
		implied = implied || e.isImplied
	}
	s.table.add(&entry{task: task, durable: task, isJournaled: true, isImplied: implied})
}

// replayIntent applies the journaled record of an intent: it adds the tasks of
// a new intent, or removes the tasks that were forgotten.
func (s *Sharder) replayIntent(intent *kumquatv1.ShardIntent) {
	id := intent.GetIntent().GetId()
	_, known := s.table.intents[id]
	s.table.intents[id] = intent
	if len(intent.GetForgotten()) > 0 {
		for task := range s.table.byIntent[id] {
			s.table.remove(task)
		}
		return
	}
	if !known {
		s.addTasks(intent.GetIntent())
	}
}

// addTasks adds those of an intent's tasks that belong to the shard and are not
// in the table yet.
func (s *Sharder) addTasks(intent *kumquatv1.IntentRecord) (added int) {
	for _, share := range intent.GetShards() {
		if share.GetDataCentre() != s.options.DataCentre {
			continue
		}
		for n := share.GetFirst(); n < share.GetFirst()+share.GetCount(); n++ {
			task := lifecycler.FromIntent(intent, n)
			if _, ok := s.table.entries[task.ID]; ok {
				continue
			}
			s.replayTask(task, true)
			added++
		}
	}
	return added
}

func (s *Sharder) replayQuarantine(quarantine *kumquatv1.Quarantine) {
	s.quarantines[quarantine.GetWorker()] = quarantine
}

// prepareReplayed prepares the replayed state for work. A run that an earlier
// owner assigned may go on until the longest lease that this earlier owner may
// have granted has lapsed.
func (s *Sharder) prepareReplayed(now time.Time) {
	acquired := s.options.Authority.AcquiredAt(s.options.Shard)
	if acquired.IsZero() {
		acquired = now
	}
	until := lapseTime(acquired, s.leaseBound)
	for _, group := range s.table.byWorker {
		for _, e := range group {
			e.sent, e.replayed = true, true
			e.leaseUntil = until
		}
	}
	for name, quarantine := range s.quarantines {
		if quarantine.GetActive() {
			s.ledger.RestoreQuarantine(name, quarantine.GetReason(), now)
		}
	}
}

// lapseTime returns the time at which a lease has provably lapsed if the
// command that granted or renewed it was sent at the given time.
func lapseTime(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(callTimeout + lease + lease*driftPercent/100 + driftMargin)
}

// snapshotRecords returns the durable state as records. It is called with the
// lock held and no append in flight.
func (s *Sharder) snapshotRecords() []*kumquatv1.Record {
	var records []*kumquatv1.Record
	for _, intent := range s.table.intents {
		records = append(records, intentRecord(intent))
	}
	for _, e := range s.table.entries {
		if !e.isJournaled {
			continue
		}
		if e.isImplied && e.durable.SameProgress(initialState(e.durable)) {
			continue
		}
		if e.isImplied {
			records = append(records, progressRecord(e.durable))
		} else {
			records = append(records, s.fullRecord(e.durable))
		}
	}
	for _, quarantine := range s.quarantines {
		records = append(records, &kumquatv1.Record{Change: &kumquatv1.Record_Quarantine{Quarantine: quarantine}})
	}
	if s.leaseBound > 0 {
		records = append(records, leaseRecord(s.leaseBound))
	}
	if s.ingestedRevision > 0 {
		records = append(records, removedIntentRecord("", s.ingestedRevision))
	}
	return append(records, estimatesRecord(s.estimates()))
}

// initialState returns a task's state before its first change.
func initialState(task lifecycler.Task) lifecycler.Task {
	return task.WithProgress(&kumquatv1.TaskProgress{
		State: kumquatv1.TaskState_TASK_STATE_PENDING,
		Run:   lifecycler.FirstRun,
	})
}

// taskRecord returns the record of a task's new state: only its progress if the
// journal knows the task, or else the whole task.
func (s *Sharder) taskRecord(e *entry, task lifecycler.Task) *kumquatv1.Record {
	if e.isImplied || e.isJournaled {
		return progressRecord(task)
	}
	return s.fullRecord(task)
}

func progressRecord(task lifecycler.Task) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_Progress{Progress: task.Progress()}}
}

func (s *Sharder) fullRecord(task lifecycler.Task) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_Task{Task: task.Proto(string(s.options.Shard))}}
}

func intentRecord(intent *kumquatv1.ShardIntent) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_ShardIntent{ShardIntent: intent}}
}

func leaseRecord(lease time.Duration) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_LeaseBound{
		LeaseBound: &kumquatv1.LeaseBound{LeaseMillis: lease.Milliseconds()},
	}}
}

// shardIntentOf returns the part of an intent that the journal keeps: all but
// its document.
func shardIntentOf(intent *kumquatv1.IntentRecord) *kumquatv1.ShardIntent {
	kept := proto.CloneOf(intent)
	kept.Document = ""
	return &kumquatv1.ShardIntent{Intent: kept, Cancelled: intent.GetCancelledUnixMillis() != 0}
}

// sorted returns the entries of a group, ordered by task id.
func sorted(group map[string]*entry) []*entry {
	list := make([]*entry, 0, len(group))
	for _, e := range group {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.task.ID, b.task.ID) })
	return list
}
