// Package claimer claims idempotency keys at the daemons that decide on them.
package claimer

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// callTimeout bounds one report to an owner.
	callTimeout = 2 * time.Second
	// reportPeriod is the time for which an outcome is reported again and again.
	reportPeriod = time.Minute
	// closeGrace is the time that Close gives undelivered reports.
	closeGrace = 2 * time.Second
	// maxReports is the number of outcomes that wait to be reported.
	maxReports = 4096
	// firstPause and longestPause bound the pauses between two tries.
	firstPause   = 10 * time.Millisecond
	longestPause = time.Second
)

// errNoOwner reports a key whose owner is not known.
var errNoOwner = errors.New("owner of the key is not known")

// A Service decides on keys. *claimkeeper.Keeper and the clients of peers
// implement it.
type Service interface {
	Claim(ctx context.Context, request *kumquatv1.ClaimRequest) (*kumquatv1.ClaimResponse, error)
	Complete(ctx context.Context, report *kumquatv1.CompleteRequest) (*kumquatv1.CompleteResponse, error)
}

// Options configure a Claimer.
type Options struct {
	// Daemon is this daemon's name.
	Daemon    string
	Directory owner.Directory
	// Local decides on the keys that this daemon owns.
	Local Service
	// Dial returns the service of the daemon at a peer address.
	Dial     func(address string) Service
	Recorder recorder.Recorder
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
}

// A Claimer claims keys and reports outcomes. It is safe for concurrent use.
type Claimer struct {
	opts  Options
	life  context.Context
	end   context.CancelFunc
	jobs  sync.WaitGroup
	slots chan struct{}
}

// New returns a claimer. Close ends it.
func New(opts Options) *Claimer {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	life, end := context.WithCancel(context.Background())
	return &Claimer{opts: opts, life: life, end: end, slots: make(chan struct{}, maxReports)}
}

// A Claim is the answer to a claim. Only with state GRANTED the request may be
// sent, once, and Report has to be called then.
type Claim struct {
	State  kumquatv1.ClaimState
	Result *kumquatv1.StoredResult
	Reason string

	claimer *Claimer
	key     string
	token   string
}

// Claim claims a key for a request with a digest. If the owner doesn't answer
// before the deadline, the state is UNAVAILABLE.
func (c *Claimer) Claim(ctx context.Context, key string, digest []byte, upstream string, deadline time.Time) *Claim {
	claim := &Claim{claimer: c, key: key, token: rand.Text()}
	request := &kumquatv1.ClaimRequest{
		Key: key, Digest: digest, Token: claim.token, Upstream: upstream,
		DeadlineUnixMillis: deadline.UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pauses := pauser.NewBackoff(firstPause, longestPause)
	asked := false
	for {
		response, err := c.ask(ctx, request, &asked)
		if err == nil {
			claim.State, claim.Result, claim.Reason = response.GetState(), response.GetResult(), response.GetReason()
			return claim
		}
		if !pauser.Sleep(ctx, pauses.NextBackOff()) {
			c.giveUp(claim, asked, err)
			return claim
		}
	}
}

// ask asks the owner of a key once.
func (c *Claimer) ask(ctx context.Context, request *kumquatv1.ClaimRequest, asked *bool) (*kumquatv1.ClaimResponse, error) {
	service, err := c.serviceFor(request.GetKey())
	if err != nil {
		return nil, err
	}
	*asked = true
	return service.Claim(ctx, request)
}

// giveUp ends a claim without an answer. If an owner may have granted it, the
// key is given back.
func (c *Claimer) giveUp(claim *Claim, asked bool, cause error) {
	claim.State = kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE
	claim.Reason = "the key's owner did not answer in time"
	c.opts.Recorder.Record(c.opts.Now(), EventClaimUnavailable, recorder.Fields{
		"partition": string(owner.ClaimPartitionOf(claim.key)), "reason": cause.Error(),
	})
	if asked {
		claim.ReportNotRun()
	}
}

// serviceFor returns the service that decides on a key.
func (c *Claimer) serviceFor(key string) (Service, error) {
	daemon, address, ok := c.opts.Directory.OwnerOf(owner.ClaimPartitionOf(key))
	switch {
	case !ok:
		return nil, errNoOwner
	case daemon == c.opts.Daemon:
		return c.opts.Local, nil
	default:
		return c.opts.Dial(address), nil
	}
}

// ReportResult reports the whole answer of the claimed request.
func (c *Claim) ReportResult(result *kumquatv1.StoredResult) {
	c.claimer.report(&kumquatv1.CompleteRequest{Key: c.key, Token: c.token, Result: result})
}

// ReportNotRun reports that no byte of the request was sent, which frees the key.
func (c *Claim) ReportNotRun() {
	c.claimer.report(&kumquatv1.CompleteRequest{Key: c.key, Token: c.token, NotRun: true})
}

// ReportUnknown reports that the request may have run.
func (c *Claim) ReportUnknown() {
	c.claimer.report(&kumquatv1.CompleteRequest{Key: c.key, Token: c.token, Unknown: true})
}

// report delivers a report in the background until an owner has made it
// durable or its time is over.
func (c *Claimer) report(report *kumquatv1.CompleteRequest) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.drop(report.GetKey(), "too many reports wait")
		return
	}
	c.jobs.Go(func() {
		defer func() { <-c.slots }()
		ctx, cancel := context.WithTimeout(c.life, reportPeriod)
		defer cancel()
		if err := c.deliver(ctx, report); err != nil {
			c.drop(report.GetKey(), err.Error())
		}
	})
}

// deliver tries to report until it succeeds or the context ends.
func (c *Claimer) deliver(ctx context.Context, report *kumquatv1.CompleteRequest) error {
	pauses := pauser.NewBackoff(firstPause, longestPause)
	for {
		err := c.deliverOnce(ctx, report)
		if err == nil {
			return nil
		}
		if !pauser.Sleep(ctx, pauses.NextBackOff()) {
			return err
		}
	}
}

// deliverOnce reports to the owner once.
func (c *Claimer) deliverOnce(ctx context.Context, report *kumquatv1.CompleteRequest) error {
	service, err := c.serviceFor(report.GetKey())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = service.Complete(ctx, report)
	return err
}

// drop records a report that was not delivered.
func (c *Claimer) drop(key, reason string) {
	c.opts.Recorder.Record(c.opts.Now(), EventReportDropped, recorder.Fields{
		"partition": string(owner.ClaimPartitionOf(key)), "reason": reason,
	})
}

// Drain waits until all reports are delivered or the context ends.
func (c *Claimer) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.jobs.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close waits for a while until all reports are delivered, gives up the others
// and waits for their end.
func (c *Claimer) Close() error {
	grace := time.AfterFunc(closeGrace, c.end)
	defer grace.Stop()
	c.jobs.Wait()
	c.end()
	return nil
}
