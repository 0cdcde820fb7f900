package conductor

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// permitTimeout is the timeout of one request for permits.
const permitTimeout = 5 * time.Second

// requestPermits asks the adviser for permits and passes the answer to the table.
func (c *Conductor) requestPermits(request dispatcher.PermitRequest) {
	c.adviserMu.Lock()
	ctx, cancel := context.WithTimeout(c.ctx, permitTimeout)
	began := time.Now()
	permits, valid, err := c.opts.Adviser.Ask(ctx, request)
	cancel()
	c.adviserMu.Unlock()
	if err != nil {
		c.notePermitFailure(request, err)
		return
	}
	c.apply(func(t *dispatcher.Table, now time.Time) {
		// A permit's validity starts when the adviser grants it, which may be long
		// before the answer arrives, but not before the request was sent.
		t.ApplyPermits(request, permits, valid-now.Sub(began), now)
	})
}

// notePermitFailure passes a failed request for permits to the table.
func (c *Conductor) notePermitFailure(request dispatcher.PermitRequest, err error) {
	if c.ctx.Err() == nil {
		c.opts.Recorder.Record(time.Now(), EventAdviceFailed, recorder.Fields{
			"id": request.Step.Submission, "step": request.Step.String(), "error": err.Error(),
		})
	}
	c.apply(func(t *dispatcher.Table, now time.Time) { t.PermitsFailed(request, now) })
}
