package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/errorcoder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// fakeOperator is an Operator service that keeps its state in memory. A fault can
// be set for the next call of each method.
type fakeOperator struct {
	mu       sync.Mutex
	version  int64
	document string
	intents  map[string]bool
	ended    bool
	// faults maps methods to the fault of their next call: "lost" drops the answer,
	// "down" drops the call, "raced" puts another version in force first.
	faults map[string]string
}

var _ kumquatv1.Operator = (*fakeOperator)(nil)

func newFakeOperator() *fakeOperator {
	return &fakeOperator{intents: map[string]bool{}, faults: map[string]string{}}
}

// handler returns a handler that serves the operator and injects its faults.
func (f *fakeOperator) handler() http.Handler {
	server := kumquatv1.NewOperatorServer(f, withTypedErrors())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		f.mu.Lock()
		fault := f.faults[method]
		delete(f.faults, method)
		f.mu.Unlock()
		switch fault {
		case "down":
			panic(http.ErrAbortHandler)
		case "lost":
			server.ServeHTTP(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case "raced":
			f.race()
		}
		server.ServeHTTP(w, r)
	})
}

// withTypedErrors encodes the errors that the methods return.
func withTypedErrors() twirp.ServerOption {
	return twirp.WithServerInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			answer, err := next(ctx, request)
			return answer, errorcoder.Encode(err)
		}
	})
}

// race changes the declarations as a concurrent operator would.
func (f *fakeOperator) race() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.document = strings.Replace(f.document, "maxDuration: 2s", "maxDuration: 4s", 1)
}

type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header       { return w.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

func (f *fakeOperator) Plan(_ context.Context, req *kumquatv1.PlanRequest) (*kumquatv1.PlanResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	declared, err := declarer.Parse("declarations", []byte(f.document))
	if err != nil {
		return nil, err
	}
	intent, err := declared.CheckIntent("intent", []byte(req.Document))
	if err != nil {
		return nil, err
	}
	plan := &kumquatv1.Plan{Intent: intent.Name, Document: req.Document, ConfigurationVersion: f.version, Basis: "b1"}
	for n := range intent.Count {
		task := fmt.Sprintf("%s/%d", intent.Name, n)
		if intent.Resources.Accelerators > 2 {
			plan.Rejections = append(plan.Rejections, &kumquatv1.Rejection{Task: task, Reason: "no worker has so many accelerators"})
			continue
		}
		plan.Placements = append(plan.Placements, &kumquatv1.Placement{Task: task, Worker: "w-1", DataCentre: "atl-a", Why: "fits best"})
	}
	plan.MissingShards = []string{"sav-a"}
	plan.QuotaLimit = &kumquatv1.Resources{MilliCores: 100_000, MemoryBytes: 400_000_000_000}
	plan.QuotaAfter = &kumquatv1.Resources{MilliCores: 2000 * int64(intent.Count)}
	return &kumquatv1.PlanResponse{Plan: plan}, nil
}

func (f *fakeOperator) Confirm(_ context.Context, req *kumquatv1.ConfirmRequest) (*kumquatv1.ConfirmResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.Plan.ConfigurationVersion != f.version {
		return nil, &errs.RefusedError{What: "plan for " + req.Plan.Intent, Why: "the declarations have changed", Remedy: "plan again"}
	}
	already := f.intents[req.Plan.Intent]
	f.intents[req.Plan.Intent] = true
	return &kumquatv1.ConfirmResponse{Intent: req.Plan.Intent, AlreadyConfirmed: already}, nil
}

func (f *fakeOperator) Status(_ context.Context, req *kumquatv1.StatusRequest) (*kumquatv1.StatusResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := &kumquatv1.StatusResponse{ConfigurationVersion: f.version, MissingShards: []string{"shard:sav-a"}}
	if f.ended {
		answer.MissingShards = nil
	}
	for intent := range f.intents {
		counts := map[string]int32{"TASK_STATE_ASSIGNED": 2}
		if f.ended {
			counts = map[string]int32{"TASK_STATE_FINISHED": 2}
		}
		f.ended = true
		answer.Intents = append(answer.Intents, &kumquatv1.IntentStatus{Intent: intent, Team: "studio", Kind: "TASK_KIND_RUN_BY", Counts: counts})
	}
	if req.IncludeTasks {
		answer.Tasks = []*kumquatv1.Task{{Id: "night-casting/0", State: kumquatv1.TaskState_TASK_STATE_FINISHED, Run: 2, Worker: "w-1", Result: []byte("done")}}
	}
	answer.Daemons = []*kumquatv1.DaemonStatus{{Incarnation: &kumquatv1.Incarnation{Daemon: "atl-a-1"}, DataCentre: "atl-a", Reachable: true, ConfigurationVersion: f.version}}
	answer.Workers = []*kumquatv1.WorkerStatus{{Worker: "w-1", DataCentre: "atl-a", Quarantined: true, Reachable: true}}
	return answer, nil
}

func (f *fakeOperator) Cancel(_ context.Context, req *kumquatv1.CancelRequest) (*kumquatv1.CancelResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.intents[req.Intent] {
		return nil, &errs.RefusedError{What: "cancellation of " + req.Intent, Why: "there is no such intent", Remedy: "look at kumquat status"}
	}
	answer := &kumquatv1.CancelResponse{Cancelled: 2}
	if len(req.TaskIds) > 1 {
		answer.MissingShards = []string{"sav-a"}
	}
	return answer, nil
}

func (f *fakeOperator) GetDeclarations(context.Context, *kumquatv1.GetDeclarationsRequest) (*kumquatv1.GetDeclarationsResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &kumquatv1.GetDeclarationsResponse{Version: f.version, Document: f.document}, nil
}

func (f *fakeOperator) Apply(_ context.Context, req *kumquatv1.ApplyRequest) (*kumquatv1.ApplyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.BaseVersion != f.version {
		return nil, errs.ErrConflict
	}
	if req.Document == f.document {
		return &kumquatv1.ApplyResponse{Version: f.version, Unchanged: true}, nil
	}
	f.version, f.document = f.version+1, req.Document
	return &kumquatv1.ApplyResponse{Version: f.version}, nil
}

func (f *fakeOperator) SetDataCentre(_ context.Context, req *kumquatv1.SetDataCentreRequest) (*kumquatv1.SetDataCentreResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edited, err := declarer.EditDataCentre([]byte(f.document), req.DataCentre, req.Out)
	if err != nil {
		return nil, err
	}
	if string(edited) == f.document {
		return &kumquatv1.SetDataCentreResponse{Version: f.version, Unchanged: true}, nil
	}
	f.version, f.document = f.version+1, string(edited)
	return &kumquatv1.SetDataCentreResponse{Version: f.version, Unconfirmed: []string{"sav-a-1"}}, nil
}

func (f *fakeOperator) Release(_ context.Context, req *kumquatv1.ReleaseRequest) (*kumquatv1.ReleaseResponse, error) {
	if req.Plan != "" && req.Plan != "p1" {
		return nil, &errs.RefusedError{What: "the release", Why: "it has changed", Remedy: "look at it again"}
	}
	return &kumquatv1.ReleaseResponse{Plan: "p1", Released: req.Plan != "", Incarnations: []*kumquatv1.DeadIncarnation{{
		Incarnation: &kumquatv1.Incarnation{Daemon: req.Daemons[0], Number: 7}, Partitions: []string{"claims:3"},
	}}}, nil
}

func (f *fakeOperator) Timeline(_ context.Context, req *kumquatv1.TimelineRequest) (*kumquatv1.TimelineResponse, error) {
	answer := &kumquatv1.TimelineResponse{Missing: []string{"sav-a-1"}}
	for i, daemon := range []string{"atl-a-1", "atl-a-2"} {
		answer.Events = append(answer.Events, &kumquatv1.Event{
			Clock: uint64(1e9 * (i + 1)), Daemon: daemon, Number: 3101, Name: "member.registered",
			Fields: map[string]string{"filter": req.Filter, "text": "<b>two words</b>"},
		})
	}
	return answer, nil
}
