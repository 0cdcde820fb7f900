package sharder

import (
	"context"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

const (
	// taskRetention is how long the ended tasks of an intent stay visible.
	taskRetention = 10 * time.Minute
	// movedRetention is how long ended tasks that may have come from another
	// shard are kept, so that a repeated move of them is recognised.
	movedRetention = 24 * time.Hour
	// expireInterval is the time between two checks for tasks and intents that
	// can be forgotten.
	expireInterval = time.Minute
	// intentRetention is how long an intent is kept after its tasks have been
	// forgotten.
	intentRetention = 24 * time.Hour
)

// Ingest adds the shard's tasks of a confirmed intent. It may be repeated: if
// the intent has been cancelled since, its tasks are cancelled here too. The
// tasks are journaled soon after the call returns; if the owner changes before
// that, the call must be repeated.
func (s *Sharder) Ingest(intent *kumquatv1.IntentRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := intent.GetId()
	known, ok := s.table.intents[id]
	if ok {
		s.setIntentRevision(known, intent.GetRevision())
		if intent.GetCancelledUnixMillis() != 0 && !known.GetCancelled() {
			s.cancelIntent(id)
		}
		return
	}
	dropped := intent.GetRevision() > 0 && intent.GetRevision() <= s.ingestedRevision
	if dropped || !s.hasTasksOf(intent) {
		return
	}
	kept := shardIntentOf(intent)
	s.table.intents[id] = kept
	s.flusher.extras = append(s.flusher.extras, intentRecord(kept))
	added := s.addTasks(intent)
	if kept.GetCancelled() {
		s.cancelTasks(id, nil)
	}
	s.record(EventIntentIngested, recorder.Fields{"intent": id, "tasks": itoa(int64(added))})
	s.wake()
}

// setIntentRevision adds the revision to an intent that was cancelled before it
// was ingested.
func (s *Sharder) setIntentRevision(known *kumquatv1.ShardIntent, revision int64) {
	if revision == 0 || known.GetIntent().GetRevision() != 0 {
		return
	}
	next := proto.CloneOf(known)
	next.Intent.Revision = revision
	s.table.intents[known.GetIntent().GetId()] = next
}

// hasTasksOf reports whether an intent has tasks in this shard.
func (s *Sharder) hasTasksOf(intent *kumquatv1.IntentRecord) bool {
	for _, share := range intent.GetShards() {
		if share.GetDataCentre() == s.options.DataCentre && share.GetCount() > 0 {
			return true
		}
	}
	return len(s.table.byIntent[intent.GetId()]) > 0
}

// Submit adds single tasks and returns once they are durable. Tasks that the
// shard already has are left unchanged.
func (s *Sharder) Submit(ctx context.Context, request *kumquatv1.SubmitRequest) (*kumquatv1.SubmitResponse, error) {
	number, err := s.submit(request)
	if err != nil {
		return nil, err
	}
	if err := s.awaitDurable(ctx, number); err != nil {
		return nil, err
	}
	return &kumquatv1.SubmitResponse{Durable: true}, nil
}

func (s *Sharder) submit(request *kumquatv1.SubmitRequest) (number int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.isOwner(now) || s.superseded {
		return 0, errs.ErrNotOwner
	}
	for _, submitted := range request.GetTasks() {
		if _, ok := s.table.entries[submitted.GetId()]; ok {
			continue
		}
		s.addTask(lifecycler.FromProto(submitted).Adopt(now))
	}
	s.wake()
	return s.appendNumber(), nil
}

// addTask adds a task that is not in the journal yet.
func (s *Sharder) addTask(task lifecycler.Task) {
	e := &entry{task: task}
	s.table.add(e)
	s.table.dirty[task.ID] = e
}

// Adopt adds tasks that another shard has moved here and returns their ids once
// they are durable. A move is a repetition if the shard already has the same or
// a later run of the task.
func (s *Sharder) Adopt(ctx context.Context, request *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error) {
	number, err := s.adoptTasks(request)
	if err != nil {
		return nil, err
	}
	if err := s.awaitDurable(ctx, number); err != nil {
		return nil, err
	}
	response := &kumquatv1.AdoptResponse{}
	for _, task := range request.GetTasks() {
		response.TaskIds = append(response.TaskIds, task.GetId())
	}
	return response, nil
}

func (s *Sharder) adoptTasks(request *kumquatv1.AdoptRequest) (number int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.isOwner(now) || s.superseded {
		return 0, errs.ErrNotOwner
	}
	for _, moved := range request.GetTasks() {
		s.adoptTask(lifecycler.FromProto(moved), now)
	}
	s.wake()
	return s.appendNumber(), nil
}

// adoptTask adds one moved task, or applies its cancellation if the shard
// already has its run.
func (s *Sharder) adoptTask(moved lifecycler.Task, now time.Time) {
	next := moved.Adopt(now)
	known, ok := s.table.entries[moved.ID]
	if ok && known.task.Run >= moved.Run {
		if next.State == kumquatv1.TaskState_TASK_STATE_CANCELLED {
			s.table.set(known, known.task.Cancel(now))
		}
		return
	}
	if ok {
		s.table.set(known, next)
		known.waitingSince = time.Time{}
		s.recordTask(EventTaskTakenIn, known, "")
		return
	}
	s.addTask(next)
	s.recordTask(EventTaskTakenIn, s.table.entries[moved.ID], "")
}

// CancelTasks cancels the requested tasks, or all tasks of an intent, and
// returns once that is durable. Running tasks are stopped afterwards.
func (s *Sharder) CancelTasks(ctx context.Context, request *kumquatv1.CancelTasksRequest) (*kumquatv1.CancelTasksResponse, error) {
	cancelled, number, err := s.cancelRequested(request)
	if err != nil {
		return nil, err
	}
	if err := s.awaitDurable(ctx, number); err != nil {
		return nil, err
	}
	return &kumquatv1.CancelTasksResponse{Cancelled: int32(cancelled)}, nil
}

func (s *Sharder) cancelRequested(request *kumquatv1.CancelTasksRequest) (cancelled int, number int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwner(s.options.Now()) || s.superseded {
		return 0, 0, errs.ErrNotOwner
	}
	if len(request.GetTaskIds()) == 0 {
		cancelled = s.cancelIntent(request.GetIntent())
	} else {
		cancelled = s.cancelTasks(request.GetIntent(), request.GetTaskIds())
	}
	s.record(EventTasksCancelled, recorder.Fields{"intent": request.GetIntent(), "tasks": itoa(int64(cancelled))})
	s.wake()
	return cancelled, s.appendNumber(), nil
}

// cancelIntent cancels all tasks of an intent and returns how many had not
// ended yet. It keeps the cancellation, so that a later Ingest doesn't add tasks
// of the intent.
func (s *Sharder) cancelIntent(id string) int {
	known := s.table.intents[id]
	if known == nil {
		known = &kumquatv1.ShardIntent{
			Intent:              &kumquatv1.IntentRecord{Id: id},
			ForgottenUnixMillis: s.options.Now().UnixMilli(),
		}
	}
	if !known.GetCancelled() {
		next := proto.CloneOf(known)
		next.Cancelled = true
		s.table.intents[id] = next
		s.flusher.extras = append(s.flusher.extras, intentRecord(next))
	}
	return s.cancelTasks(id, nil)
}

// cancelTasks cancels tasks by id, or all tasks of an intent, and returns how
// many of them had not ended yet.
func (s *Sharder) cancelTasks(intent string, ids []string) (cancelled int) {
	now := s.options.Now()
	for _, e := range s.selectEntries(intent, ids) {
		next := e.task.Cancel(now)
		if next.SameProgress(e.task) {
			continue
		}
		if !e.task.Ended() {
			cancelled++
		}
		s.table.set(e, next)
	}
	return cancelled
}

// selectEntries returns the entries with the given ids, or all entries of the
// intent if no ids are given.
func (s *Sharder) selectEntries(intent string, ids []string) []*entry {
	if len(ids) == 0 {
		return sorted(s.table.byIntent[intent])
	}
	var found []*entry
	for _, id := range ids {
		if e, ok := s.table.entries[id]; ok {
			found = append(found, e)
		}
	}
	return found
}

// expire forgets the tasks of intents whose tasks have all ended long ago, and
// drops the intents later.
func (s *Sharder) expire(now time.Time) {
	if now.Sub(s.expiryCheckedAt) < expireInterval {
		return
	}
	s.expiryCheckedAt = now
	for id, group := range s.table.byIntent {
		if mayForget(group, now) {
			s.forgetIntent(id, group, now)
		}
	}
	for id, known := range s.table.intents {
		if s.mayDropIntent(known, now) {
			s.dropIntent(id, known.GetIntent().GetRevision())
		}
	}
}

// mayDropIntent reports whether an intent need not be kept any longer: its
// tasks were forgotten long ago, and its revision is known, by which Ingest
// recognises the store's record of the intent if it is read again.
func (s *Sharder) mayDropIntent(known *kumquatv1.ShardIntent, now time.Time) bool {
	since := known.GetForgottenUnixMillis()
	if since == 0 || known.GetIntent().GetRevision() == 0 || len(s.table.byIntent[known.GetIntent().GetId()]) > 0 {
		return false
	}
	return now.Sub(time.UnixMilli(since)) >= intentRetention
}

// dropIntent drops an intent. The store's changes arrive in order, so the shard
// has ingested all intents up to this revision by now, and Ingest ignores their
// records if they are read again.
func (s *Sharder) dropIntent(id string, revision int64) {
	delete(s.table.intents, id)
	s.ingestedRevision = max(s.ingestedRevision, revision)
	s.flusher.extras = append(s.flusher.extras, removedIntentRecord(id, revision))
}

// mayForget reports whether all tasks of a group can be forgotten: each has
// durably ended, its move, if any, is confirmed, and its retention is over.
func mayForget(group map[string]*entry, now time.Time) bool {
	for _, e := range group {
		kept := taskRetention
		if e.task.Run > lifecycler.FirstRun {
			kept = movedRetention
		}
		if !e.task.Ended() || e.task.IsMoveUnconfirmed() || !e.isDurable() || now.Sub(e.task.EndedAt) < kept {
			return false
		}
	}
	return true
}

// forgetIntent drops the tasks of an intent and keeps their number by state.
func (s *Sharder) forgetIntent(id string, group map[string]*entry, now time.Time) {
	known, ok := s.table.intents[id]
	forgotten := make(map[string]int32)
	maps.Copy(forgotten, known.GetForgotten())
	for _, e := range sorted(group) {
		forgotten[stateName(e.task.State)]++
		s.sizes.Forget(e.task.ID)
		s.table.remove(e.task.ID)
		if !ok {
			s.flusher.extras = append(s.flusher.extras, removedTaskRecord(e.task.ID))
		}
	}
	s.ledger.Forget(id)
	s.sizes.ForgetIntent(id)
	if !ok {
		return
	}
	next := &kumquatv1.ShardIntent{
		Intent:              known.GetIntent(),
		Cancelled:           known.GetCancelled(),
		Forgotten:           forgotten,
		ForgottenUnixMillis: now.UnixMilli(),
	}
	s.table.intents[id] = next
	s.flusher.extras = append(s.flusher.extras, intentRecord(next))
}

func removedIntentRecord(id string, revision int64) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedIntent{
		RemovedIntent: &kumquatv1.RemovedIntent{Intent: id, Revision: revision},
	}}
}

func removedTaskRecord(task string) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedTask{RemovedTask: task}}
}
