package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer/encoder"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// responseLimit bounds the bytes that are read of one response.
const responseLimit = 64 << 20

var (
	errCircuitOpen = errors.New("circuit open after repeated failures")
	errBudget      = errors.New("budget of calls exhausted")
)

// A call is one request to the service and its response.
type call struct {
	op      string
	path    string
	request any
	result  any
	// write is true if the call may change the store.
	write bool
	// vital is true if the call counts against the budget but must not be refused by it.
	vital bool
}

// A statusError is a response with a status other than 200.
type statusError struct {
	status  int
	problem encoder.Problem
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.problem.Message)
}

// isRefused reports whether the status, 4xx, says that the call had no effect.
func (e *statusError) isRefused() bool {
	return e.status >= http.StatusBadRequest && e.status < http.StatusInternalServerError
}

// call makes one call to the service. Its errors are those that Store documents.
func (c *Client) call(ctx context.Context, call call) (err error) {
	if err := c.admit(ctx, call); err != nil {
		return err
	}
	if call.write {
		c.counts.writes.Add(1)
	} else {
		c.counts.reads.Add(1)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	var sent atomic.Bool
	err = c.exchange(withSent(ctx, &sent), call)
	c.updateBreaker(ctx, err)
	return c.outcome(call, sent.Load(), err)
}

// admit returns an error if the circuit is open or the budget is exhausted. It
// waits for the budget for up to half of the call's timeout.
func (c *Client) admit(ctx context.Context, call call) error {
	now := time.Now()
	if !c.breaker.allow(now) {
		c.counts.circuit.Add(1)
		return &errs.StoreUnavailableError{Op: call.op, Cause: errCircuitOpen}
	}
	if call.vital {
		c.budget.AllowN(now, 1)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout/2)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		c.breaker.release(time.Now())
		c.counts.budget.Add(1)
		c.options.Recorder.Record(now, EventBudgetExceeded, recorder.Fields{"op": call.op})
		return &errs.StoreUnavailableError{Op: call.op, Cause: errBudget}
	}
	return nil
}

// exchange sends the request of a call and decodes the response.
func (c *Client) exchange(ctx context.Context, call call) (err error) {
	response, err := c.post(ctx, call.path, call.request)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err := io.ReadAll(io.LimitReader(response.Body, responseLimit))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, call.result)
}

// post sends a request and returns the response if its status is 200.
func (c *Client) post(ctx context.Context, path string, request any) (response *http.Response, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	posted, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.Endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	posted.Header.Set("Content-Type", "application/json")
	response, err = c.options.HTTP.Do(posted)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	failure := &statusError{status: response.StatusCode}
	// If the body can't be decoded, the problem stays empty; the status is enough.
	_ = json.NewDecoder(io.LimitReader(response.Body, responseLimit)).Decode(&failure.problem)
	_ = response.Body.Close()
	return nil, failure
}

// withSent returns a context that sets sent once a connection was obtained, after
// which bytes of the request may have been sent.
func withSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// updateBreaker updates the circuit breaker with the result of a call. A call that its
// caller cancelled shows nothing about the service.
func (c *Client) updateBreaker(ctx context.Context, err error) {
	var status *statusError
	now := time.Now()
	switch {
	case err == nil || (errors.As(err, &status) && status.isRefused()):
		if c.breaker.recordSuccess() {
			c.options.Recorder.Record(now, EventCircuitClosed, recorder.Fields{"endpoint": c.options.Endpoint})
		}
	case errors.Is(ctx.Err(), context.Canceled):
		c.breaker.release(now)
	default:
		c.counts.failed.Add(1)
		if c.breaker.recordFailure(now) {
			fields := recorder.Fields{"endpoint": c.options.Endpoint, "cause": err.Error()}
			c.options.Recorder.Record(now, EventCircuitOpened, fields)
		}
	}
}

// outcome converts the error of a call to one that Store documents.
func (c *Client) outcome(call call, sent bool, err error) error {
	if err == nil {
		return nil
	}
	var status *statusError
	if errors.As(err, &status) && status.isRefused() {
		if status.problem.Code == encoder.CodeNotFound {
			return errs.ErrNotFound
		}
		return &errs.StoreUnavailableError{Op: call.op, Cause: err}
	}
	if !call.write || !sent {
		return &errs.StoreUnavailableError{Op: call.op, Cause: err}
	}
	c.counts.unknown.Add(1)
	c.options.Recorder.Record(time.Now(), EventOutcomeUnknown, recorder.Fields{"op": call.op, "cause": err.Error()})
	return &errs.UnknownOutcomeError{Op: call.op, Cause: err}
}
