// Package router serves the callers' urgent requests. It validates them, claims
// their idempotency keys, executes them on this daemon or a peer, and either sends
// a complete response or aborts the caller's connection.
package router

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
	"github.com/kumquatstack/kumquatstack/internal/request/claimer"
	"github.com/kumquatstack/kumquatstack/internal/request/hedger"
	"github.com/kumquatstack/kumquatstack/internal/request/retrier"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// drainPollInterval is the interval at which Drain checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
	// requestIDLength is the number of characters of a generated request id.
	requestIDLength = 16
)

// namePattern matches the request ids and caller names that are accepted from callers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// Options configure a Router.
type Options struct {
	Slots     *slotter.Slots
	Forwarder *forwarder.Forwarder
	// Claimer claims idempotency keys. If it is nil, requests with a key are refused.
	Claimer *claimer.Claimer
	// Declarations returns the current version of the declarations, or nil if there is none.
	Declarations func() *declarer.Version
	Recorder     recorder.Recorder
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// A Router is the HTTP handler of the callers' listener. It is safe for concurrent use.
type Router struct {
	opts           Options
	local          *attempter.LocalExecutor
	budgets        *retrier.Budgets
	delays         *hedger.Delays
	bodyMemory     *semaphore.Weighted
	table          atomic.Pointer[routeTable]
	active         atomic.Int64 // requests and hedged attempts in flight
	awaitingRunner atomic.Int64 // calls that wait until some daemon has a usable runner
	counters       counters
}

var _ http.Handler = (*Router)(nil)

// New returns a router.
func New(opts Options) *Router {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	rt := &Router{
		opts:       opts,
		local:      attempter.NewLocalExecutor(opts.Slots, opts.Now),
		budgets:    retrier.NewBudgets(),
		delays:     hedger.NewDelays(),
		bodyMemory: semaphore.NewWeighted(maxBufferedBodies),
	}
	rt.table.Store(newRouteTable(nil))
	return rt
}

// An inboundRequest is a caller's request while this daemon serves it.
type inboundRequest struct {
	router *Router
	w      http.ResponseWriter
	r      *http.Request
	id     string
	call   *attempter.Call
	target target
	key    string // idempotency key; empty if the request has none
	// isBodyRead is true once a buffered body has been read to its end.
	isBodyRead bool
	// reservedBytes is the memory reserved for the buffered body.
	reservedBytes int64
	stream        *streamBody
}

// ServeHTTP implements http.Handler.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rt.active.Add(1)
	defer rt.active.Add(-1)
	in := &inboundRequest{router: rt, w: w, r: r, id: requestID(r)}
	defer in.release()
	w.Header().Set(answerer.HeaderRequest, in.id)
	if refusal := in.admit(rt.opts.Now()); refusal != nil {
		in.refuse(*refusal)
		return
	}
	if in.key != "" {
		in.serveKeyed()
		return
	}
	in.serve()
}

// routes returns the route table of the current declarations, and rebuilds it after
// a change of version.
func (rt *Router) routes() *routeTable {
	table := rt.table.Load()
	version := rt.opts.Declarations()
	if isSameVersion(version, table.version) {
		return table
	}
	table = newRouteTable(version)
	rt.table.Store(table)
	for _, path := range table.ignored {
		rt.opts.Recorder.Record(rt.opts.Now(), EventRouteIgnored, recorder.Fields{"route": path})
	}
	return table
}

// isSameVersion reports whether two versions have the same number or are both nil.
func isSameVersion(a, b *declarer.Version) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Number == b.Number
}

// refuse sends a refusal to the caller, and counts and records it.
func (in *inboundRequest) refuse(refusal answerer.Refusal) {
	in.router.counters.countRefusal(refusal.Outcome, refusal.Status)
	fields := recorder.Fields{"request": in.id, "reason": refusal.Reason}
	if in.call != nil {
		fields["upstream"] = in.call.Upstream
	}
	in.router.opts.Recorder.Record(in.router.opts.Now(), refusal.Event, fields)
	in.shortenReadDeadline()
	refusal.Write(in.w, in.id)
	in.discardBody()
}

// release releases the memory reserved for the body, and ends the reading of a
// streamed body that was not read to its end.
func (in *inboundRequest) release() {
	if in.stream != nil && !in.stream.ended.Load() {
		_ = http.NewResponseController(in.w).SetReadDeadline(time.Unix(1, 0))
	}
	if in.reservedBytes > 0 {
		in.router.bodyMemory.Release(in.reservedBytes)
	}
}

// requestID returns the caller's request id, or a new one if it has no valid id.
func requestID(r *http.Request) string {
	if id := r.Header.Get(answerer.HeaderRequest); namePattern.MatchString(id) {
		return id
	}
	return rand.Text()[:requestIDLength]
}

// callerOf returns the name under which queues account for the caller: the one in
// its header, or else its IP address.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(answerer.HeaderCaller); namePattern.MatchString(name) {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// Drain waits until no request is in flight, or until the context ends.
func (rt *Router) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for rt.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}
