// Package router serves the callers' urgent requests: it checks them, claims
// their idempotency keys, has them carried out by this daemon or a peer, and
// answers whole or not at all.
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
	// drainPoll is the time between two looks at what is in flight.
	drainPoll = 10 * time.Millisecond
	// requestIDLength is the number of characters of a generated request id.
	requestIDLength = 16
)

// namePattern matches the request ids and caller names that are taken over.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// Options configure a Router.
type Options struct {
	Slots     *slotter.Slots
	Forwarder *forwarder.Forwarder
	// Claimer claims idempotency keys; nil refuses requests that carry one.
	Claimer *claimer.Claimer
	// Declarations returns the version in force, or nil if there is none.
	Declarations func() *declarer.Version
	Recorder     recorder.Recorder
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
}

// A Router is the callers' handler. It is safe for concurrent use.
type Router struct {
	opts     Options
	local    *attempter.LocalExecutor
	budgets  *retrier.Budgets
	delays   *hedger.Delays
	bodies   *semaphore.Weighted
	table    atomic.Pointer[routeTable]
	active   atomic.Int64
	homeless atomic.Int64
	counters counters
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
		opts:    opts,
		local:   attempter.NewLocalExecutor(opts.Slots, opts.Now),
		budgets: retrier.NewBudgets(),
		delays:  hedger.NewDelays(),
		bodies:  semaphore.NewWeighted(maxKeptBodies),
	}
	rt.table.Store(newRouteTable(nil))
	return rt
}

// A visit is one request at this daemon.
type visit struct {
	router *Router
	w      http.ResponseWriter
	r      *http.Request
	id     string
	call   *attempter.Call
	target target
	key    string
	// isRead is true once a kept body has been read to its end.
	isRead bool
	// kept is the memory that is reserved for the body.
	kept   int64
	stream *streamBody
}

// ServeHTTP implements http.Handler.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rt.active.Add(1)
	defer rt.active.Add(-1)
	v := &visit{router: rt, w: w, r: r, id: requestID(r)}
	defer v.end()
	w.Header().Set(answerer.HeaderRequest, v.id)
	if refusal := v.admit(rt.opts.Now()); refusal != nil {
		v.refuse(*refusal)
		return
	}
	if v.key != "" {
		v.serveKeyed()
		return
	}
	v.serve()
}

// routes returns the route table of the version in force.
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

// isSameVersion reports whether two pointers are to the same version.
func isSameVersion(a, b *declarer.Version) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Number == b.Number
}

// refuse answers without a runner.
func (v *visit) refuse(refusal answerer.Refusal) {
	v.router.counters.count(refusal.Outcome, refusal.Status)
	fields := recorder.Fields{"request": v.id, "reason": refusal.Reason}
	if v.call != nil {
		fields["upstream"] = v.call.Upstream
	}
	v.router.opts.Recorder.Record(v.router.opts.Now(), refusal.Event, fields)
	v.hurry()
	refusal.Write(v.w, v.id)
	v.discardBody()
}

// end releases what the visit holds.
func (v *visit) end() {
	if v.stream != nil && !v.stream.ended.Load() {
		_ = http.NewResponseController(v.w).SetReadDeadline(time.Unix(1, 0))
	}
	if v.kept > 0 {
		v.router.bodies.Release(v.kept)
	}
}

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(answerer.HeaderRequest); namePattern.MatchString(id) {
		return id
	}
	return rand.Text()[:requestIDLength]
}

// callerOf returns the name by which callers share fairly.
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

// Drain waits until no request is in flight or the context ends.
func (rt *Router) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
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
