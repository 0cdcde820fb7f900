// Package claimer claims idempotency keys at the daemons that own them and reports
// the outcomes of the claimed requests.
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
	// reportTimeout bounds one attempt to report an outcome to an owner.
	reportTimeout = 2 * time.Second
	// reportPeriod is how long the report of an outcome is retried.
	reportPeriod = time.Minute
	// closeGrace is how long Close waits for undelivered reports.
	closeGrace = 2 * time.Second
	// maxPendingReports bounds the number of reports that are being delivered.
	maxPendingReports = 4096
	// firstBackoff and longestBackoff bound the back-off between attempts, before jitter.
	firstBackoff   = 10 * time.Millisecond
	longestBackoff = time.Second
)

// errNoOwner reports a key whose partition has no known owner.
var errNoOwner = errors.New("owner of the key is not known")

// A Service grants claims and stores outcomes for the keys that a daemon owns.
// *claimkeeper.Keeper and the clients of peers implement it.
type Service interface {
	Claim(ctx context.Context, request *kumquatv1.ClaimRequest) (*kumquatv1.ClaimResponse, error)
	Complete(ctx context.Context, report *kumquatv1.CompleteRequest) (*kumquatv1.CompleteResponse, error)
}

// Options configure a Claimer.
type Options struct {
	// Daemon is this daemon's name.
	Daemon    string
	Directory owner.Directory
	// Local is the service for the keys that this daemon owns.
	Local Service
	// Dial returns the service of the daemon at a peer address.
	Dial     func(address string) Service
	Recorder recorder.Recorder
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// A Claimer claims keys and reports outcomes to their owners. It is safe for
// concurrent use.
type Claimer struct {
	opts        Options
	baseCtx     context.Context
	cancelBase  context.CancelFunc
	background  sync.WaitGroup
	reportSlots chan struct{} // holds one element for each report that is being delivered
}

// New returns a claimer, which has to be closed.
func New(opts Options) *Claimer {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	baseCtx, cancelBase := context.WithCancel(context.Background())
	return &Claimer{opts: opts, baseCtx: baseCtx, cancelBase: cancelBase, reportSlots: make(chan struct{}, maxPendingReports)}
}

// A Claim is the owner's decision on a claim. If the state is GRANTED, the request
// may be sent once, and one of the Report methods must be called afterwards. In any
// other state the request must not be sent.
type Claim struct {
	State kumquatv1.ClaimState
	// Result is the stored response to the request, if the state is COMPLETED.
	Result *kumquatv1.StoredResult
	// Reason says why the state is UNAVAILABLE; it may be empty.
	Reason string

	claimer *Claimer
	key     string
	token   string // identifies this claim in repeated calls and in the report
}

// Claim claims a key for the request with the given digest. It retries with the
// same token until an owner answers. If none does before the deadline, the state
// is UNAVAILABLE.
func (c *Claimer) Claim(ctx context.Context, key string, digest []byte, upstream string, deadline time.Time) *Claim {
	claim := &Claim{claimer: c, key: key, token: rand.Text()}
	request := &kumquatv1.ClaimRequest{
		Key: key, Digest: digest, Token: claim.token, Upstream: upstream,
		DeadlineUnixMillis: deadline.UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	backoff := pauser.NewBackoff(firstBackoff, longestBackoff)
	wasSent := false
	for {
		response, err := c.claimOnce(ctx, request, &wasSent)
		if err == nil {
			claim.State, claim.Result, claim.Reason = response.GetState(), response.GetResult(), response.GetReason()
			return claim
		}
		if !pauser.Sleep(ctx, backoff.NextBackOff()) {
			c.giveUp(claim, wasSent, err)
			return claim
		}
	}
}

// claimOnce sends the claim to the key's owner once. It sets wasSent if an owner
// may have received it.
func (c *Claimer) claimOnce(ctx context.Context, request *kumquatv1.ClaimRequest, wasSent *bool) (*kumquatv1.ClaimResponse, error) {
	service, err := c.serviceFor(request.GetKey())
	if err != nil {
		return nil, err
	}
	*wasSent = true
	return service.Claim(ctx, request)
}

// giveUp ends a claim that no owner has answered. If an owner may have granted it,
// the request is reported as not run, which frees the key.
func (c *Claimer) giveUp(claim *Claim, wasSent bool, cause error) {
	claim.State = kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE
	claim.Reason = "the key's owner did not answer in time"
	c.opts.Recorder.Record(c.opts.Now(), EventClaimUnavailable, recorder.Fields{
		"partition": string(owner.ClaimPartitionOf(claim.key)), "reason": cause.Error(),
	})
	if wasSent {
		claim.ReportNotRun()
	}
}

// serviceFor returns the service of the key's owner.
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

// ReportResult reports the complete response to the claimed request.
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

// report delivers a report in the background. It retries until an owner has
// accepted the report or the report period is over.
func (c *Claimer) report(report *kumquatv1.CompleteRequest) {
	select {
	case c.reportSlots <- struct{}{}:
	default:
		c.recordDropped(report.GetKey(), "too many reports are pending")
		return
	}
	c.background.Go(func() {
		defer func() { <-c.reportSlots }()
		ctx, cancel := context.WithTimeout(c.baseCtx, reportPeriod)
		defer cancel()
		if err := c.deliver(ctx, report); err != nil {
			c.recordDropped(report.GetKey(), err.Error())
		}
	})
}

// deliver retries a report until it is accepted or the context ends.
func (c *Claimer) deliver(ctx context.Context, report *kumquatv1.CompleteRequest) error {
	backoff := pauser.NewBackoff(firstBackoff, longestBackoff)
	for {
		err := c.deliverOnce(ctx, report)
		if err == nil {
			return nil
		}
		if !pauser.Sleep(ctx, backoff.NextBackOff()) {
			return err
		}
	}
}

// deliverOnce sends a report to the key's owner once.
func (c *Claimer) deliverOnce(ctx context.Context, report *kumquatv1.CompleteRequest) error {
	service, err := c.serviceFor(report.GetKey())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = service.Complete(ctx, report)
	return err
}

// recordDropped records that a report was not delivered.
func (c *Claimer) recordDropped(key, reason string) {
	c.opts.Recorder.Record(c.opts.Now(), EventReportDropped, recorder.Fields{
		"partition": string(owner.ClaimPartitionOf(key)), "reason": reason,
	})
}

// Drain waits until all reports are delivered or the context ends.
func (c *Claimer) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.background.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close waits up to closeGrace for pending reports, abandons the others and waits
// until their goroutines have ended.
func (c *Claimer) Close() error {
	grace := time.AfterFunc(closeGrace, c.cancelBase)
	defer grace.Stop()
	c.background.Wait()
	c.cancelBase()
	return nil
}
