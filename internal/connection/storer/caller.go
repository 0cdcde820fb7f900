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

// answerLimit bounds the bytes read of one answer.
const answerLimit = 64 << 20

var (
	errCircuitOpen = errors.New("circuit open after repeated failures")
	errBudget      = errors.New("budget of calls used up")
)

// A call is one exchange with the service.
type call struct {
	op      string
	path    string
	request any
	answer  any
	// write tells that the call may change the store.
	write bool
	// vital calls are never refused by the budget.
	vital bool
}

// A statusError is an answer other than 200.
type statusError struct {
	status  int
	problem encoder.Problem
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.problem.Message)
}

// refused reports whether the service said that the call had no effect.
func (e *statusError) refused() bool {
	return e.status >= http.StatusBadRequest && e.status < http.StatusInternalServerError
}

// call makes one exchange and gives its failure one of the documented outcomes.
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
	c.note(ctx, err)
	return c.outcome(call, sent.Load(), err)
}

// admit asks the circuit and the budget.
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

// exchange sends the request and decodes the answer.
func (c *Client) exchange(ctx context.Context, call call) (err error) {
	response, err := c.post(ctx, call.path, call.request)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, call.answer)
}

// post sends a request and returns the answer if its status is 200.
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
	// A body that can't be read leaves the problem empty; the status is enough.
	_ = json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&failure.problem)
	_ = response.Body.Close()
	return nil, failure
}

// withSent makes the context note that a connection was obtained, after which
// bytes of the request may have left.
func withSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// note tells the circuit what a call showed of the service.
func (c *Client) note(ctx context.Context, err error) {
	var status *statusError
	now := time.Now()
	switch {
	case err == nil || (errors.As(err, &status) && status.refused()):
		if c.breaker.succeed() {
			c.options.Recorder.Record(now, EventCircuitClosed, recorder.Fields{"endpoint": c.options.Endpoint})
		}
	case errors.Is(ctx.Err(), context.Canceled):
		c.breaker.release(now)
	default:
		c.counts.failed.Add(1)
		if c.breaker.fail(now) {
			fields := recorder.Fields{"endpoint": c.options.Endpoint, "cause": err.Error()}
			c.options.Recorder.Record(now, EventCircuitOpened, fields)
		}
	}
}

// outcome gives a failure its documented type.
func (c *Client) outcome(call call, sent bool, err error) error {
	if err == nil {
		return nil
	}
	var status *statusError
	if errors.As(err, &status) && status.refused() {
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
