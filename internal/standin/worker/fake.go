package worker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// ErrResponseLost reports a call that took effect but whose response was lost.
var ErrResponseLost = errors.New("response lost")

var (
	errUnreachable = errors.New("worker unreachable")
	errCheckpoint  = errors.New("checkpoint failed")
)

// Faults are the faults that a test injects into a worker.
type Faults struct {
	// DelayMillis is the delay before each call takes effect, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// Unreachable makes every call fail without effect.
	Unreachable bool `json:"unreachable"`
	// Hang makes calls to an unreachable worker wait instead of failing at once.
	Hang bool `json:"hang"`
	// LoseAnswers is how many of the next commands take effect but lose their response.
	LoseAnswers int `json:"loseAnswers"`
	// FailAll makes every run fail immediately after its start.
	FailAll bool `json:"failAll"`
	// FailClasses are the classes whose runs fail immediately after their start.
	FailClasses []string `json:"failClasses"`
	// FailCheckpoints makes checkpoints fail; HangCheckpoints makes them wait.
	FailCheckpoints bool `json:"failCheckpoints"`
	HangCheckpoints bool `json:"hangCheckpoints"`
}

// A Fake is an in-process commander.Agent with injected faults.
type Fake struct {
	*Worker
	clock  atomic.Pointer[func() time.Time]
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

var _ commander.Agent = (*Fake)(nil)

// NewFake returns a worker without runs and faults.
func NewFake(options Options) *Fake {
	fake := &Fake{Worker: New(options), changed: make(chan struct{})}
	fake.SetClock(time.Now)
	return fake
}

// SetClock replaces the clock that drives the runs and the expiry of leases.
func (f *Fake) SetClock(clock func() time.Time) { f.clock.Store(&clock) }

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// Faults returns the faults that SetFaults set last, or the zero value if it was never called.
func (f *Fake) Faults() Faults {
	faults, _ := f.currentFaults()
	return faults
}

// Now returns the present time on the fake's clock.
func (f *Fake) Now() time.Time { return (*f.clock.Load())() }

// Start implements commander.Agent.
func (f *Fake) Start(ctx context.Context, start commander.Start) error {
	return f.execute(ctx, func(now time.Time) error {
		if err := f.Worker.Start(now, start); err != nil {
			return err
		}
		faults := f.Faults()
		if faults.FailAll {
			f.Fail(now, start.ID, "injected fault: every run at this worker fails")
		}
		if slices.Contains(faults.FailClasses, start.Class) {
			f.Fail(now, start.ID, "injected fault: every run of this class fails")
		}
		return nil
	})
}

// Renew implements commander.Agent.
func (f *Fake) Renew(ctx context.Context, renewal commander.Renewal) (renewed commander.RenewalResult, err error) {
	err = f.execute(ctx, func(now time.Time) (err error) {
		renewed, err = f.Worker.Renew(now, renewal)
		return err
	})
	if err != nil {
		return commander.RenewalResult{}, err
	}
	return renewed, nil
}

// Checkpoint implements commander.Agent.
func (f *Fake) Checkpoint(ctx context.Context, fence commander.Fence, id commander.RunID) (name string, err error) {
	err = f.execute(ctx, func(now time.Time) (err error) {
		if err := f.waitWhile(ctx, func(faults Faults) bool { return faults.HangCheckpoints }); err != nil {
			return err
		}
		if f.Faults().FailCheckpoints {
			return errCheckpoint
		}
		name, err = f.Worker.Checkpoint(now, fence, id)
		return err
	})
	if err != nil {
		return "", err
	}
	return name, nil
}

// Throttle implements commander.Agent.
func (f *Fake) Throttle(ctx context.Context, fence commander.Fence, id commander.RunID, percent int) error {
	return f.execute(ctx, func(now time.Time) error {
		return f.Worker.Throttle(now, fence, id, percent)
	})
}

// Stop implements commander.Agent.
func (f *Fake) Stop(ctx context.Context, fence commander.Fence, id commander.RunID) error {
	return f.execute(ctx, func(now time.Time) error {
		return f.Worker.Stop(now, fence, id)
	})
}

// Report implements commander.Agent.
func (f *Fake) Report(ctx context.Context, fence commander.Fence) (commander.Report, error) {
	if err := f.admit(ctx); err != nil {
		return commander.Report{}, err
	}
	return f.Worker.Report(f.Now(), fence)
}

// Usage implements commander.Agent.
func (f *Fake) Usage(ctx context.Context) ([]commander.Usage, error) {
	if err := f.admit(ctx); err != nil {
		return nil, err
	}
	return f.Worker.Usage(f.Now()), nil
}

// execute applies a command once it is admitted. It returns ErrResponseLost instead of the
// command's error if LoseAnswers applies to the command.
func (f *Fake) execute(ctx context.Context, apply func(now time.Time) error) error {
	if err := f.admit(ctx); err != nil {
		return err
	}
	err := apply(f.Now())
	if f.takeLostAnswer() {
		return ErrResponseLost
	}
	return err
}

// admit waits for the injected delay and fails while the worker is unreachable.
func (f *Fake) admit(ctx context.Context) error {
	if delay := f.Faults().DelayMillis; delay > 0 {
		timer := time.NewTimer(time.Duration(delay) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if err := f.waitWhile(ctx, func(faults Faults) bool { return faults.Unreachable && faults.Hang }); err != nil {
		return err
	}
	if f.Faults().Unreachable {
		return errUnreachable
	}
	return ctx.Err()
}

// waitWhile waits until the faults no longer meet a condition or the context ends.
func (f *Fake) waitWhile(ctx context.Context, condition func(Faults) bool) error {
	for {
		faults, changed := f.currentFaults()
		if !condition(faults) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// takeLostAnswer reports whether the response to the present command is to be lost, and if so
// decrements Faults.LoseAnswers.
func (f *Fake) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers == 0 {
		return false
	}
	f.faults.LoseAnswers--
	return true
}

// currentFaults returns the faults and a channel that is closed when they change.
func (f *Fake) currentFaults() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}
