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
	// retention is how long the ended tasks of an intent stay visible.
	retention = 10 * time.Minute
	// movedRetention is how long ended tasks that may have come from another
	// shard are kept, to recognise repeated moves.
	movedRetention = 24 * time.Hour
	// expireInterval is the time between two looks for what can be forgotten.
	expireInterval = time.Minute
	// intentRetention is how long an intent is kept after its tasks.
	intentRetention = 24 * time.Hour
)

// Ingest takes in the shard's tasks of a confirmed intent. It may be repeated;
// an intent that has been cancelled since is cancelled here too. The tasks are
// journaled soon after the call; until then a repeated call is needed after a
// change of owner.
func (s *Sharder) Ingest(intent *kumquatv1.IntentRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := intent.GetId()
	known, ok := s.table.intents[id]
	if ok {
		s.noteRevision(known, intent.GetRevision())
		if intent.GetCancelledUnixMillis() != 0 && !known.GetCancelled() {
			s.cancelIntent(id)
		}
		return
	}
	dropped := intent.GetRevision() > 0 && intent.GetRevision() <= s.taken
	if dropped || !s.concerns(intent) {
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

// noteRevision completes an intent that was cancelled before it was taken in.
func (s *Sharder) noteRevision(known *kumquatv1.ShardIntent, revision int64) {
	if revision == 0 || known.GetIntent().GetRevision() != 0 {
		return
	}
	next := proto.CloneOf(known)
	next.Intent.Revision = revision
	s.table.intents[known.GetIntent().GetId()] = next
}

// concerns reports whether an intent has tasks in this shard.
func (s *Sharder) concerns(intent *kumquatv1.IntentRecord) bool {
	for _, share := range intent.GetShards() {
		if share.GetDataCentre() == s.options.DataCentre && share.GetCount() > 0 {
			return true
		}
	}
	return len(s.table.byIntent[intent.GetId()]) > 0
}

// Submit takes in single tasks and returns once they are durable. Tasks that
// the shard knows are left as they are.
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
	if !s.holds(now) || s.superseded {
		return 0, errs.ErrNotOwner
	}
	for _, submitted := range request.GetTasks() {
		if _, ok := s.table.entries[submitted.GetId()]; ok {
			continue
		}
		s.takeIn(lifecycler.FromProto(submitted).Adopt(now))
	}
	s.wake()
	return s.appendNumber(), nil
}

// takeIn adds a task that the journal doesn't know.
func (s *Sharder) takeIn(task lifecycler.Task) {
	e := &entry{task: task}
	s.table.add(e)
	s.table.dirty[task.ID] = e
}

// Adopt takes in tasks that another shard has moved here and returns those
// that are durable. A task is recognised by its run.
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
	if !s.holds(now) || s.superseded {
		return 0, errs.ErrNotOwner
	}
	for _, moved := range request.GetTasks() {
		s.adoptTask(lifecycler.FromProto(moved), now)
	}
	s.wake()
	return s.appendNumber(), nil
}

// adoptTask takes in one moved task, or its cancellation.
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
	s.takeIn(next)
	s.recordTask(EventTaskTakenIn, s.table.entries[moved.ID], "")
}

// CancelTasks cancels tasks, or all tasks of an intent, and returns once that
// is durable. What runs is stopped afterwards.
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
	if !s.holds(s.options.Now()) || s.superseded {
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

// cancelIntent cancels all tasks of an intent and remembers it, so that the
// intent's tasks are not taken in later.
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

// cancelTasks cancels tasks by id, or all of an intent, and returns how many
// were not ended yet.
func (s *Sharder) cancelTasks(intent string, ids []string) (cancelled int) {
	now := s.options.Now()
	for _, e := range s.selected(intent, ids) {
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

// selected returns the entries with the ids, or all of an intent.
func (s *Sharder) selected(intent string, ids []string) []*entry {
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

// expire forgets the tasks of intents that have ended for long.
func (s *Sharder) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	for id, group := range s.table.byIntent {
		if expired(group, now) {
			s.forgetIntent(id, group, now)
		}
	}
	for id, known := range s.table.intents {
		if s.outlived(known, now) {
			s.dropIntent(id, known.GetIntent().GetRevision())
		}
	}
}

// outlived reports whether an intent need not be kept any more: nothing is left
// of it for long, and the store's record of it can be told from a new one.
func (s *Sharder) outlived(known *kumquatv1.ShardIntent, now time.Time) bool {
	since := known.GetForgottenUnixMillis()
	if since == 0 || known.GetIntent().GetRevision() == 0 || len(s.table.byIntent[known.GetIntent().GetId()]) > 0 {
		return false
	}
	return now.Sub(time.UnixMilli(since)) >= intentRetention
}

// dropIntent drops an intent. By now the shard has taken in all intents up to its
// revision, since the store's changes arrive in order; so their records mean
// nothing new, should they be read again.
func (s *Sharder) dropIntent(id string, revision int64) {
	delete(s.table.intents, id)
	s.taken = max(s.taken, revision)
	s.flusher.extras = append(s.flusher.extras, removedIntentRecord(id, revision))
}

// expired reports whether all tasks of a group can be forgotten.
func expired(group map[string]*entry, now time.Time) bool {
	for _, e := range group {
		kept := retention
		if e.task.Run > lifecycler.FirstRun {
			kept = movedRetention
		}
		if !e.task.Ended() || e.task.IsMoveUnconfirmed() || !e.settled() || now.Sub(e.task.EndedAt) < kept {
			return false
		}
	}
	return true
}

// forgetIntent drops the tasks of an intent and keeps their numbers.
func (s *Sharder) forgetIntent(id string, group map[string]*entry, now time.Time) {
	known, ok := s.table.intents[id]
	forgotten := make(map[string]int32)
	maps.Copy(forgotten, known.GetForgotten())
	for _, e := range sorted(group) {
		forgotten[stateName(e.task.State)]++
		s.sizes.Forget(e.task.ID)
		s.table.remove(e.task.ID)
		if !ok {
			s.flusher.extras = append(s.flusher.extras, removalRecord(e.task.ID))
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

func removalRecord(task string) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedTask{RemovedTask: task}}
}
