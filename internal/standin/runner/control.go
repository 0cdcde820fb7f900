package runner

import (
	"fmt"
	"net/http"

	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// A FaultsRequest sets the faults of one runner, or of all if Runner is empty.
type FaultsRequest struct {
	Runner string `json:"runner"`
	Faults Faults `json:"faults"`
}

// A Set is a set of runners in one process.
type Set []*Runner

// SetFaults sets the faults of the runners that a request selects. It fails if the request selects
// no runner.
func (s Set) SetFaults(request FaultsRequest) error {
	found := false
	for _, runner := range s {
		if request.Runner == "" || runner.options.Name == request.Runner {
			runner.SetFaults(request.Faults)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("no runner %q", request.Runner)
	}
	return nil
}

// Counts returns the counters of each runner.
func (s Set) Counts() (counts []Counts) {
	for _, runner := range s {
		counts = append(counts, runner.Counts())
	}
	return counts
}

// Breaches returns the violated guarantees of all runners.
func (s Set) Breaches() (breaches []judge.Breach) {
	for _, runner := range s {
		breaches = append(breaches, runner.Breaches()...)
	}
	return breaches
}

// Executions returns how often any runner began to run each request, by the request's ID.
func (s Set) Executions() map[string]int {
	executions := map[string]int{}
	for _, runner := range s {
		for id, times := range runner.Executions() {
			executions[id] += times
		}
	}
	return executions
}

// NewControl returns a handler of the endpoints through which tests control runners.
func NewControl(set Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+controller.PathFaults, controller.Accept(set.SetFaults))
	mux.Handle("GET "+controller.PathCounts, controller.Show(set.Counts))
	mux.Handle("GET "+controller.PathBreaches, controller.Show(set.Breaches))
	mux.Handle("GET "+controller.PathExecutions, controller.Show(set.Executions))
	return mux
}
