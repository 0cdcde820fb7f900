package conductor

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// askTimeout bounds one question for permits.
const askTimeout = 5 * time.Second

// ask puts a question to the adviser and reports the answer to the table.
func (c *Conductor) ask(question dispatcher.PermitRequest) {
	c.asking.Lock()
	ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
	began := time.Now()
	permits, valid, err := c.opts.Adviser.Ask(ctx, question)
	cancel()
	c.asking.Unlock()
	if err != nil && c.ctx.Err() == nil {
		c.opts.Recorder.Record(time.Now(), EventAdviceFailed, recorder.Fields{
			"id": question.Step.Submission, "step": question.Step.String(), "error": err.Error(),
		})
	}
	c.apply(func(t *dispatcher.Table, now time.Time) {
		// A permit's time begins when it is given, which may be long before.
		t.ApplyPermits(question.Step, permits, valid-now.Sub(began), now)
	})
}
