// Package forwarder forwards calls to daemons with free slots, and serves the
// calls that other daemons forward.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/budgeter"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

const (
	// MaxHops is how often a call may be forwarded.
	MaxHops = 2
	// maxPeers bounds the peers that one call is sent to.
	maxPeers = 3
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed. It is
	// shorter than the idle timeout of the peers' servers.
	idleTimeout = 20 * time.Second
	// idlePerPeer bounds the idle connections to a peer.
	idlePerPeer = 64
	// linkDelay is the round-trip time of the link between regions.
	linkDelay = 16 * time.Millisecond
)

// Options configure a Forwarder.
type Options struct {
	// Daemon, DataCentre and Region describe this daemon.
	Daemon     string
	DataCentre string
	Region     string
	Slots      *slotter.Slots
	// Budget limits the bytes sent to other regions; nil allows none.
	Budget *budgeter.Budget
	// Transport sends calls to peers; if nil, the forwarder creates one.
	Transport http.RoundTripper
	Recorder  recorder.Recorder
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// A Forwarder forwards calls to peers. It is safe for concurrent use.
type Forwarder struct {
	opts  Options
	peers peers
	// own is the transport that the forwarder created; nil if it was given one.
	own *http.Transport
}

var _ attempter.Executor = (*Forwarder)(nil)

// New returns a forwarder without peers; see SetPeers.
func New(opts Options) *Forwarder {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	if opts.Budget == nil {
		opts.Budget = budgeter.New()
	}
	f := &Forwarder{opts: opts, peers: peers{loads: make(map[loadKey]Load)}}
	if opts.Transport == nil {
		f.own = NewTransport()
		f.opts.Transport = f.own
	}
	return f
}

// NewTransport returns a transport for calls between daemons.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            newDialer().DialContext,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 128 << 10,
	}
}

// SetPeers replaces the list of peers, which must not contain this daemon.
func (f *Forwarder) SetPeers(list []Peer) { f.peers.set(list) }

// Observe records the load of a peer that a heartbeat reported.
func (f *Forwarder) Observe(daemon, upstream string, load Load) {
	f.peers.observe(daemon, upstream, load)
}

// Execute implements attempter.Executor. It sends a call to up to maxPeers peers
// in turn, best first, until one of them has run it or may have run it. It
// returns ErrNoPeer if no peer is a better choice than this daemon.
func (f *Forwarder) Execute(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	var excluded []string
	var last error
	for range maxPeers {
		peer, ok := f.choose(call, excluded)
		if !ok {
			break
		}
		answer, err = f.send(ctx, call, peer)
		if err == nil {
			return answer, nil
		}
		var failed *attempter.Error
		if !errors.As(err, &failed) || failed.Outcome != answerer.OutcomeNotRun {
			return nil, err
		}
		f.record(EventForwardRefused, call, peer)
		last = err
		if ctx.Err() != nil || !call.Body.IsRepeatable() {
			return nil, err
		}
		excluded = append(excluded, peer.Daemon)
	}
	if last != nil {
		return nil, last
	}
	return nil, ErrNoPeer
}

// ErrNoPeer reports that no peer is a better choice for a call than this daemon.
var ErrNoPeer = errors.New("no peer is better")

// choose picks a peer for a call. It skips the daemons in excluded.
func (f *Forwarder) choose(call *attempter.Call, excluded []string) (Peer, bool) {
	if call.Hops >= MaxHops {
		return Peer{}, false
	}
	now := f.opts.Now()
	return f.peers.choose(query{
		upstream:   call.Upstream,
		dataCentre: f.opts.DataCentre,
		region:     f.opts.Region,
		own:        ownLoad(f.opts.Slots.Load(call.Upstream, now), now),
		linkDelay:  linkDelay,
		excluded:   excluded,
		mayCross:   func() bool { return f.opts.Budget.Reserve(wireSize(call), now) },
	}, now)
}

// ownLoad converts this daemon's own load.
func ownLoad(load slotter.Load, now time.Time) Load {
	return Load{Slots: load.Slots, Free: load.Free, Queued: load.Queued, MeanService: load.Service, ReportedAt: now}
}

// wireSize estimates the number of bytes that are sent to forward a call.
func wireSize(call *attempter.Call) int64 {
	const envelope = 512
	return int64(answerer.HeaderSize(call.Header)) + call.Body.Size() + envelope
}

// send forwards a call to one peer.
func (f *Forwarder) send(ctx context.Context, call *attempter.Call, peer Peer) (answer *attempter.Answer, err error) {
	var connected atomic.Bool
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := wrap(ctx, call, peer.Address, f.opts.Now())
	if err != nil {
		cancel()
		return nil, &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "call can't be forwarded", Cause: err}
	}
	resp, err := f.opts.Transport.RoundTrip(req) //nolint:bodyclose // The answer's Release closes it.
	if err != nil {
		cancel()
		return nil, f.sendError(call, peer, connected.Load(), err)
	}
	f.recordLoad(resp, call, peer)
	if refused := refusalOf(resp); refused != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, refused
	}
	if peer.Region != f.opts.Region {
		resp.Body = &chargedBody{inner: resp.Body, charge: f.charge}
	}
	release := func() {
		_ = resp.Body.Close()
		cancel()
	}
	return &attempter.Answer{Response: resp, Runner: resp.Header.Get(headerRunnerName), Release: release}, nil
}

// sendError returns the error of a call whose peer gave no response. The peer has
// certainly not run the call only if no connection to it was obtained.
func (f *Forwarder) sendError(call *attempter.Call, peer Peer, connected bool, cause error) error {
	now := f.opts.Now()
	if now.Before(call.Deadline) && !errors.Is(cause, context.Canceled) {
		f.peers.suspect(peer.Daemon)
	}
	if !connected {
		return &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "peer could not be reached", Cause: cause}
	}
	f.record(EventForwardBroken, call, peer)
	return &attempter.Error{Outcome: answerer.OutcomeUnknown, Reason: "connection to the peer broke", Cause: cause}
}

// recordLoad records the peer's load that a response reports.
func (f *Forwarder) recordLoad(resp *http.Response, call *attempter.Call, peer Peer) {
	if load, ok := parseLoad(resp.Header.Get(headerLoad), f.opts.Now()); ok {
		f.peers.observe(peer.Daemon, call.Upstream, load)
	}
}

// refusalOf returns the error that a peer's response reports, or nil if the
// response is a runner's. A response without a known outcome counts as unknown.
func refusalOf(resp *http.Response) *attempter.Error {
	outcome := answerer.Outcome(resp.Header.Get(answerer.HeaderOutcome))
	if outcome == answerer.OutcomeAnswered {
		return nil
	}
	if outcome != answerer.OutcomeNotRun {
		outcome = answerer.OutcomeUnknown
	}
	refused := &attempter.Error{
		Outcome: outcome,
		Reason:  resp.Header.Get(headerReason),
		Runner:  resp.Header.Get(headerRunnerName),
	}
	if millis, err := strconv.ParseInt(resp.Header.Get(headerRetryAfter), 10, 64); err == nil {
		refused.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return refused
}

// charge debits the budget with bytes of responses from other regions.
func (f *Forwarder) charge(bytes int) { f.opts.Budget.Charge(int64(bytes), f.opts.Now()) }

// record records an event of a forwarded call.
func (f *Forwarder) record(number recorder.Number, call *attempter.Call, peer Peer) {
	f.opts.Recorder.Record(f.opts.Now(), number, recorder.Fields{
		"request": call.Request, "upstream": call.Upstream, "daemon": peer.Daemon,
	})
}

// Close closes idle connections to peers.
func (f *Forwarder) Close() error {
	if f.own != nil {
		f.own.CloseIdleConnections()
	}
	return nil
}
