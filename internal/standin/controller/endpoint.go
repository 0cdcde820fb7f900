package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Paths of the endpoints through which tests control the stand-ins.
const (
	PathFaults      = "/standin/faults"
	PathCounts      = "/standin/counts"
	PathBreaches    = "/standin/breaches"
	PathLog         = "/standin/log"
	PathModel       = "/standin/model"
	PathLatestStart = "/standin/out"
	PathCrash       = "/standin/crash"
	PathExecutions  = "/standin/executions"
	PathHosts       = "/standin/hosts"
	PathState       = "/standin/state"
)

// Show returns a handler that responds with a value as JSON.
func Show[T any](value func() T) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected and needs no response.
		_ = json.NewEncoder(writer).Encode(value())
	}
}

// Accept returns a handler that decodes a value from JSON and passes it to a function. The handler
// responds with status 400 if it can't decode the value or finds unknown fields, and with status
// 404 if the function fails.
func Accept[T any](apply func(T) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var value T
		body := json.NewDecoder(request.Body)
		body.DisallowUnknownFields()
		if err := body.Decode(&value); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(value); err != nil {
			http.Error(writer, err.Error(), http.StatusNotFound)
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	}
}

// A Remote controls a stand-in over HTTP.
type Remote struct {
	// Address is the IP address and port of the endpoints.
	Address string
}

// remoteTimeout bounds each call of a Remote.
const remoteTimeout = 10 * time.Second

// Get sends a GET request to a path and decodes the response into the value pointed to.
func (r Remote) Get(ctx context.Context, path string, value any) (err error) {
	return r.call(ctx, http.MethodGet, path, http.NoBody, func(response *http.Response) error {
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", path, response.Status)
		}
		return json.NewDecoder(response.Body).Decode(value)
	})
}

// Post sends a value as JSON to a path and fails unless the stand-in accepts it.
func (r Remote) Post(ctx context.Context, path string, value any) (err error) {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return r.call(ctx, http.MethodPost, path, bytes.NewReader(body), func(response *http.Response) error {
		if response.StatusCode != http.StatusNoContent {
			return fmt.Errorf("%s: %s", path, response.Status)
		}
		return nil
	})
}

// call sends a request and passes the response to a function, which may read its body.
func (r Remote) call(ctx context.Context, method, path string, body io.Reader, handle func(*http.Response) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address+path, body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return handle(response)
}
