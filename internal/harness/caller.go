package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// Headers of callers' requests and the daemons' responses.
const (
	headerDeadline = "Kumquat-Deadline-Millis"
	headerKey      = "Idempotency-Key"
	headerOutcome  = "Kumquat-Outcome"
)

// Outcomes of a request, as a daemon states them in its response.
const (
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
	OutcomeAnswered = "answered"
)

// answerGrace is how much longer than the request's deadline a caller waits for the response.
const answerGrace = 5 * time.Second

// A Call is one request of a caller.
type Call struct {
	// ID identifies the request in the counts of executions at the runners.
	ID   string
	Path string
	Body []byte
	// Key is the idempotency key, if any.
	Key string
	// Deadline is the time within which the caller wants the response.
	Deadline time.Duration
	// Service is the service time at the runner; zero means the runner's own.
	Service time.Duration
}

// An Answer is the result of a Call.
type Answer struct {
	Call   Call
	Status int
	// Outcome is the value of the response's Kumquat-Outcome header: one of the Outcome
	// constants, or empty if there is no such header.
	Outcome string
	Body    []byte
	// Err is set if the response was missing or incomplete.
	Err error
}

// IsComplete reports whether the caller received the complete response of a runner.
func (a Answer) IsComplete() bool { return a.Err == nil && a.Status == http.StatusOK }

// String describes the answer in messages of failed tests.
func (a Answer) String() string {
	return fmt.Sprintf("%s %s: status %d, outcome %q, %d bytes, error %v", a.Call.ID, a.Call.Path, a.Status, a.Outcome, len(a.Body), a.Err)
}

// A Caller sends requests to daemons. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller with a connection pool of its own.
func NewCaller() *Caller {
	const connections = 256
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends one request to a daemon and waits for its response.
func (c *Caller) Do(ctx context.Context, daemon *Daemon, call Call) Answer {
	return c.DoAt(ctx, daemon.Callers, call)
}

// DoAt sends one request to an address and waits for its response.
func (c *Caller) DoAt(ctx context.Context, address string, call Call) (answer Answer) {
	answer.Call = call
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+answerGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Header.Set(runner.HeaderRequest, call.ID)
	request.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	if call.Key != "" {
		request.Header.Set(headerKey, call.Key)
	}
	if call.Service > 0 {
		request.Header.Set(runner.HeaderServiceMicros, strconv.FormatInt(call.Service.Microseconds(), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	answer.Outcome = response.Header.Get(headerOutcome)
	answer.Body, answer.Err = io.ReadAll(response.Body)
	return answer
}

// A Load sends requests to daemons at a constant rate.
type Load struct {
	stop    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []Answer
}

// StartLoad sends rate requests per second until Stop or the end of the test. For the number of
// each request, which counts from zero, next returns the call and target returns the daemon to send
// it to.
func StartLoad(t testing.TB, rate int, next func(number int) Call, target func(number int) *Daemon) *Load {
	load := &Load{stop: make(chan struct{})}
	t.Cleanup(func() { load.Stop() })
	caller := NewCaller()
	load.group.Go(func() {
		defer caller.Close()
		var calls sync.WaitGroup
		defer calls.Wait()
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-load.stop:
				return
			case <-ticker.C:
			}
			calls.Go(func() { load.add(caller.Do(context.Background(), target(number), next(number))) })
		}
	})
	return load
}

// Count returns the number of requests that have ended.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// CountComplete returns the number of complete responses so far.
func (l *Load) CountComplete() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole := 0
	for _, answer := range l.answers {
		if answer.IsComplete() {
			whole++
		}
	}
	return whole
}

// Stop stops sending, waits until all requests have ended and returns the answers to all of them.
func (l *Load) Stop() []Answer {
	l.once.Do(func() { close(l.stop) })
	l.group.Wait()
	return l.answers
}

func (l *Load) add(answer Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

// A Target chooses a daemon for each request from a set that can be replaced at any time.
type Target struct {
	daemons atomic.Pointer[[]*Daemon]
}

// NewTarget returns a target that uses the daemons in turn.
func NewTarget(daemons ...*Daemon) *Target {
	target := &Target{}
	target.Set(daemons...)
	return target
}

// Set replaces the daemons, as a load balancer does.
func (t *Target) Set(daemons ...*Daemon) { t.daemons.Store(&daemons) }

// Choose returns the daemon for a request by the request's number.
func (t *Target) Choose(number int) *Daemon {
	daemons := *t.daemons.Load()
	return daemons[number%len(daemons)]
}
