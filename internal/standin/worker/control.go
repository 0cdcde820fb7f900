package worker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// A FaultsRequest sets the faults of one worker, or of all if Worker is empty.
type FaultsRequest struct {
	Worker string `json:"worker"`
	Faults Faults `json:"faults"`
}

// A ModelRequest sets the performance model of one worker, or of all if Worker is empty.
type ModelRequest struct {
	Worker string `json:"worker"`
	Model  Model  `json:"model"`
}

// A CrashRequest ends all runs of one worker.
type CrashRequest struct {
	Worker string `json:"worker"`
}

// A LatestStartRequest makes all workers of a data centre record each start after an instant as a
// breach. The zero time removes this limit.
type LatestStartRequest struct {
	DataCentre string    `json:"dataCentre"`
	After      time.Time `json:"after"`
}

// NewControl returns a handler of the endpoints through which tests control a fleet.
func NewControl(fleet *Fleet) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+controller.PathFaults, controller.Accept(func(request FaultsRequest) error {
		return fleet.each(request.Worker, func(fake *Fake) { fake.SetFaults(request.Faults) })
	}))
	mux.Handle("POST "+controller.PathModel, controller.Accept(func(request ModelRequest) error {
		return fleet.each(request.Worker, func(fake *Fake) { fake.SetModel(fake.Now(), request.Model) })
	}))
	mux.Handle("POST "+controller.PathCrash, controller.Accept(func(request CrashRequest) error {
		return fleet.each(request.Worker, func(fake *Fake) { fake.Crash(fake.Now()) })
	}))
	mux.Handle("POST "+controller.PathLatestStart, controller.Accept(func(request LatestStartRequest) error {
		return fleet.each("", func(fake *Fake) {
			if fake.options.DataCentre == request.DataCentre {
				fake.SetLatestStart(request.After)
			}
		})
	}))
	mux.Handle("GET "+controller.PathLog, controller.Show(func() []judge.Record { return fleet.Records() }))
	mux.Handle("GET "+controller.PathBreaches, controller.Show(func() []judge.Breach { return fleet.Breaches() }))
	return mux
}

// each calls a function for the worker with a name, or for all workers if the name is empty. It
// fails if there is no such worker.
func (f *Fleet) each(name string, act func(*Fake)) error {
	found := false
	for _, fake := range f.all() {
		if name == "" || fake.options.Name == name {
			act(fake)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("no worker %q", name)
	}
	return nil
}
