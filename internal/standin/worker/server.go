package worker

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// requestLimit is the largest accepted command, in bytes.
const requestLimit = 4 << 20

// NewHandler returns a handler that serves a fake worker over the HTTP protocol of the platform's
// agent.
func NewHandler(fake *Fake) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+commander.PathStart, handle(func(r *http.Request, start commander.Start) (any, error) {
		return nil, fake.Start(r.Context(), start)
	}))
	sets := &renewedSets{}
	mux.Handle("POST "+commander.PathRenew, handle(func(r *http.Request, renew commander.RenewRequest) (any, error) {
		ids, ok := sets.resolve(renew)
		if !ok {
			return commander.RenewResponse{UnknownBase: true}, nil
		}
		renewed, err := fake.Renew(r.Context(), commander.Renewal{Fence: renew.Fence, IDs: ids, Lease: renew.Lease, Forget: renew.Forget})
		if err != nil || len(renewed.Ended)+len(renewed.Unknown) == 0 {
			return nil, err
		}
		return commander.RenewResponse{Ended: renewed.Ended, Unknown: renewed.Unknown}, nil
	}))
	mux.Handle("POST "+commander.PathCheckpoint, handle(func(r *http.Request, run commander.RunRequest) (any, error) {
		name, err := fake.Checkpoint(r.Context(), run.Fence, run.ID)
		return commander.CheckpointResponse{Checkpoint: name}, err
	}))
	mux.Handle("POST "+commander.PathThrottle, handle(func(r *http.Request, run commander.RunRequest) (any, error) {
		return nil, fake.Throttle(r.Context(), run.Fence, run.ID, run.Percent)
	}))
	mux.Handle("POST "+commander.PathStop, handle(func(r *http.Request, run commander.RunRequest) (any, error) {
		return nil, fake.Stop(r.Context(), run.Fence, run.ID)
	}))
	mux.Handle("POST "+commander.PathReport, handle(func(r *http.Request, report commander.ReportRequest) (any, error) {
		return fake.Report(r.Context(), report.Fence)
	}))
	mux.HandleFunc("GET "+commander.PathUsage, func(w http.ResponseWriter, r *http.Request) {
		usages, err := fake.Usage(r.Context())
		respond(w, commander.UsageResponse{Usages: usages}, err)
	})
	return compressed(mux)
}

// handle returns a handler that decodes a command, executes it and writes its result.
func handle[C any](serve func(*http.Request, C) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var command C
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&command); err != nil {
			write(w, http.StatusBadRequest, commander.Problem{Error: err.Error()})
			return
		}
		result, err := serve(r, command)
		respond(w, result, err)
	})
}

// respond writes a result, or the status and problem for an error. For a lost response or an
// unreachable worker it aborts the connection.
func respond(w http.ResponseWriter, result any, err error) {
	switch {
	case err == nil && result == nil:
		suppressHeaders(w)
		w.WriteHeader(http.StatusNoContent)
	case err == nil:
		write(w, http.StatusOK, result)
	case errors.Is(err, errs.ErrFenced):
		write(w, http.StatusConflict, commander.Problem{Error: err.Error()})
	case errors.Is(err, errs.ErrNotFound):
		write(w, http.StatusNotFound, commander.Problem{Error: err.Error()})
	case errors.Is(err, errCheckpoint):
		write(w, http.StatusInternalServerError, commander.Problem{Error: err.Error()})
	default:
		panic(http.ErrAbortHandler)
	}
}

// suppressHeaders omits the response headers that the protocol doesn't use.
func suppressHeaders(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Date"} {
		w.Header()[name] = nil
	}
}

func write(w http.ResponseWriter, status int, body any) {
	suppressHeaders(w)
	w.WriteHeader(status)
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(body)
}
