package administrator

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/planner"
)

// intentDocumentName is the name of the intent document in parse errors.
const intentDocumentName = "intent"

// Plan implements kumquatv1.Operator.
func (a *Administrator) Plan(ctx context.Context, req *kumquatv1.PlanRequest) (*kumquatv1.PlanResponse, error) {
	plan, err := a.plan(ctx, req.Document)
	if err != nil {
		return nil, err
	}
	return &kumquatv1.PlanResponse{Plan: plan}, nil
}

// plan returns the plan for an intent document from the current state of the shards.
// It returns a *errs.RefusedError if the deadline has passed or no shard answers.
func (a *Administrator) plan(ctx context.Context, document string) (*kumquatv1.Plan, error) {
	version, err := a.current()
	if err != nil {
		return nil, err
	}
	intent, err := version.Declarations.CheckIntent(intentDocumentName, []byte(document))
	if err != nil {
		return nil, err
	}
	now := a.settings.Now()
	if deadline := intent.DeadlineAt(now); !deadline.IsZero() && !deadline.After(now) {
		return nil, &errs.RefusedError{
			What:   "plan of " + intent.Name,
			Why:    "its deadline, " + deadline.Format(time.RFC3339) + ", has passed",
			Remedy: "set a later deadline, or replace the deadline by `within`",
		}
	}
	s := a.surveyWithRetry(ctx, version.Declarations, &kumquatv1.ShardStatusRequest{IncludeTasks: true})
	if len(s.shards) == 0 {
		return nil, &errs.RefusedError{
			What:   "plan of " + intent.Name,
			Why:    "no owner of a shard answers: " + strings.Join(s.missing, ", "),
			Remedy: "see `kumquat status`; a shard has a new owner seconds after its daemon has died",
		}
	}
	request := planner.Request{
		Intent:   intent,
		Document: document,
		Version:  version,
		Shards:   s.shards,
		Policy:   a.settings.Policy,
	}
	plan := planner.Plan(request, a.settings.Now())
	plan.MissingShards = s.missing
	return plan, nil
}

// Confirm implements kumquatv1.Operator.
func (a *Administrator) Confirm(ctx context.Context, req *kumquatv1.ConfirmRequest) (*kumquatv1.ConfirmResponse, error) {
	resp, err := a.confirm(ctx, req.Plan)
	if err != nil {
		a.settings.Recorder.Record(a.settings.Now(), EventConfirmRefused, recorder.Fields{
			"intent": req.GetPlan().GetIntent(),
			"reason": err.Error(),
		})
		return nil, err
	}
	return resp, nil
}

// confirm makes a plan durable if a new plan, made of the same document from the
// current state of the shards, doesn't differ. A plan that was confirmed already is
// not confirmed again.
func (a *Administrator) confirm(ctx context.Context, plan *kumquatv1.Plan) (*kumquatv1.ConfirmResponse, error) {
	if plan.GetId() == "" {
		return nil, &errs.RefusedError{What: "confirmation", Why: "it contains no plan", Remedy: "make a plan with `kumquat plan`"}
	}
	if !planner.IsIntact(plan) {
		return nil, &errs.RefusedError{
			What:   "confirmation of " + plan.Intent,
			Why:    "the plan was changed after it was made",
			Remedy: "change the intent's file, make a new plan with `kumquat plan` and confirm that one",
		}
	}
	found, err := a.findConfirmed(ctx, plan)
	if err != nil || found != nil {
		return found, err
	}
	current, err := a.plan(ctx, plan.Document)
	if err != nil {
		return nil, err
	}
	if err := checkCurrent(plan, current); err != nil {
		return nil, err
	}
	return a.create(ctx, newRecord(plan, current, a.settings.Now()))
}

// checkCurrent returns a *errs.RefusedError if a plan differs from the current plan
// of the same document.
func checkCurrent(plan, current *kumquatv1.Plan) error {
	changes := planner.Changes(plan, current)
	if len(changes) == 0 {
		return nil
	}
	return &errs.RefusedError{
		What:   "confirmation of " + plan.Intent,
		Why:    strings.Join(changes, "; "),
		Remedy: "make a new plan with `kumquat plan` and confirm that one",
	}
}

// newRecord returns the record of a confirmed plan. The tasks are divided among the
// shards as in the current plan.
func newRecord(plan, current *kumquatv1.Plan, now time.Time) *kumquatv1.IntentRecord {
	return &kumquatv1.IntentRecord{
		Id:                  current.Intent,
		Team:                current.Team,
		Class:               current.Class,
		Kind:                current.Kind,
		Resources:           current.Resources,
		Shards:              current.Shards,
		DeadlineUnixMillis:  plan.DeadlineUnixMillis,
		ExpectedRunMillis:   current.ExpectedRunMillis,
		ConfirmedUnixMillis: now.UnixMilli(),
		Plan:                plan.Id,
		Document:            current.Document,
		DataCentres:         current.DataCentres,
		Spread:              current.Kind == kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING,
	}
}

// countTasks returns the number of an intent's tasks in all shards.
func countTasks(record *kumquatv1.IntentRecord) (tasks int32) {
	for _, shard := range record.Shards {
		tasks += shard.Count
	}
	return tasks
}

// recordConfirmed records the event that an intent became durable.
func (a *Administrator) recordConfirmed(record *kumquatv1.IntentRecord) {
	a.settings.Recorder.Record(a.settings.Now(), EventIntentConfirmed, recorder.Fields{
		"intent": record.Id,
		"team":   record.Team,
		"tasks":  strconv.Itoa(int(countTasks(record))),
	})
}
