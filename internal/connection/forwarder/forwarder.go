// Package forwarder passes calls to the daemons that own free slots, and
// serves the calls that other daemons pass on.
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
	// MaxHops is the number of daemons that a call passes at most.
	MaxHops = 2
	// maxPeers bounds the peers that one call is offered to.
	maxPeers = 3
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed. It is
	// shorter than that of the peers' servers.
	idleTimeout = 20 * time.Second
	// idlePerPeer is the number of idle connections to a peer.
	idlePerPeer = 64
	// linkDelay is the delay of the link between regions, there and back.
	linkDelay = 16 * time.Millisecond
)

// Options configure a Forwarder.
type Options struct {
	// Daemon, DataCentre and Region describe this daemon.
	Daemon     string
	DataCentre string
	Region     string
	Slots      *slotter.Slots
	// Budget bounds what crosses between regions; nil lets nothing cross.
	Budget *budgeter.Budget
	// Transport carries calls to peers; nil means one of the forwarder's own.
	Transport http.RoundTripper
	Recorder  recorder.Recorder
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
}

// A Forwarder passes calls to peers. It is safe for concurrent use.
type Forwarder struct {
	opts  Options
	peers peers
	// own is the transport that Close has to end, if any.
	own *http.Transport
}

var _ attempter.Executor = (*Forwarder)(nil)

// New returns a forwarder that knows no peers.
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

// SetPeers replaces the list of peers. The daemon itself is not among them.
func (f *Forwarder) SetPeers(list []Peer) { f.peers.set(list) }

// Observe takes over word of a peer's load, as heartbeats carry it.
func (f *Forwarder) Observe(daemon, upstream string, load Load) {
	f.peers.observe(daemon, upstream, load)
}

// Execute implements attempter.Executor: it offers a call to the peers that
// suit it best, one after the other, until one has run it or may have run it.
// A call that no peer is better for than this daemon gives ErrNoPeer.
func (f *Forwarder) Execute(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	var except []string
	var last error
	for range maxPeers {
		peer, ok := f.choose(call, except)
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
		except = append(except, peer.Daemon)
	}
	if last != nil {
		return nil, last
	}
	return nil, ErrNoPeer
}

// ErrNoPeer reports that this daemon itself is the best place for a call.
var ErrNoPeer = errors.New("no peer is better")

// choose picks a peer for a call.
func (f *Forwarder) choose(call *attempter.Call, except []string) (Peer, bool) {
	if call.Hops >= MaxHops {
		return Peer{}, false
	}
	now := f.opts.Now()
	return f.peers.choose(ask{
		upstream:   call.Upstream,
		dataCentre: f.opts.DataCentre,
		region:     f.opts.Region,
		own:        ownLoad(f.opts.Slots.Load(call.Upstream, now), now),
		linkDelay:  linkDelay,
		except:     except,
		mayCross:   func() bool { return f.opts.Budget.Take(wireSize(call), now) },
	}, now)
}

// ownLoad returns this daemon's own load.
func ownLoad(load slotter.Load, now time.Time) Load {
	return Load{Slots: load.Slots, Free: load.Free, Queued: load.Queued, MeanService: load.Service, ReportedAt: now}
}

// wireSize estimates the bytes of a call between daemons.
func wireSize(call *attempter.Call) int64 {
	const envelope = 512
	return int64(answerer.HeaderSize(call.Header)) + call.Body.Size() + envelope
}

// send passes a call to one peer.
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
		return nil, f.broken(call, peer, connected.Load(), err)
	}
	f.noteLoad(resp, call, peer)
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

// broken makes the error of a call whose peer gave no answer. Only if there
// was no connection it is certain that the peer has not sent it on.
func (f *Forwarder) broken(call *attempter.Call, peer Peer, connected bool, cause error) error {
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

// noteLoad takes over the load that an answer carries.
func (f *Forwarder) noteLoad(resp *http.Response, call *attempter.Call, peer Peer) {
	if load, ok := parseLoad(resp.Header.Get(headerLoad), f.opts.Now()); ok {
		f.peers.observe(peer.Daemon, call.Upstream, load)
	}
}

// refusalOf returns the error that a peer answered with, or nil if the answer
// is a runner's. An answer that doesn't say its outcome is unknown.
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

// charge accounts for bytes of answers from other regions.
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
