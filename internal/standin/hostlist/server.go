package hostlist

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

// A StateRequest changes the state of one host.
type StateRequest struct {
	Name  string           `json:"name"`
	State lister.HostState `json:"state"`
}

// NewHandler returns a handler that serves a list, and the endpoints through which tests control
// that list.
func NewHandler(list *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+lister.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		hosts, err := list.Hosts(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		serveListing(w, r, lister.Listing{Hosts: hosts})
	})
	mux.Handle("POST "+controller.PathFaults, controller.Accept(func(faults Faults) error {
		list.SetFaults(faults)
		return nil
	}))
	mux.Handle("POST "+controller.PathHosts, controller.Accept(func(hosts lister.Listing) error {
		list.SetHosts(hosts.Hosts)
		return nil
	}))
	mux.Handle("POST "+controller.PathState, controller.Accept(func(state StateRequest) error {
		return list.SetState(state.Name, state.State)
	}))
	return mux
}

// serveListing responds with a list, or with status 304 if the client's copy is still current.
func serveListing(w http.ResponseWriter, r *http.Request, listing lister.Listing) {
	body, err := json.Marshal(listing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected and needs no response.
	_, _ = w.Write(body)
}

// Main runs the stand-in program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Listen string `long:"listen" default:"127.0.0.1:0" description:"IP address and port to listen on"`
	}
	return controller.Main(args, stdout, stderr, &options, &options.Listen, func() []controller.Service {
		return []controller.Service{{Name: "hostlist", Handler: NewHandler(New())}}
	})
}
