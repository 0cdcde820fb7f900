package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
)

// A StandaloneTB implements testing.TB for programs that use the harness outside of a test. Close
// runs the clean-ups that were registered by Cleanup.
type StandaloneTB struct {
	testing.TB
	ctx       context.Context
	directory string

	mu       sync.Mutex
	cleanups []func()
}

// A standaloneFailure is the value with which Error, Errorf, Fatal and Fatalf panic.
type standaloneFailure struct{ message string }

// NewStandaloneTB returns a StandaloneTB with a temporary directory of its own.
func NewStandaloneTB(ctx context.Context) (b *StandaloneTB, err error) {
	directory, err := os.MkdirTemp("", "kumquat-bench-")
	if err != nil {
		return nil, err
	}
	return &StandaloneTB{ctx: ctx, directory: directory}, nil
}

// Helper implements testing.TB.
func (b *StandaloneTB) Helper() {}

// Context implements testing.TB.
func (b *StandaloneTB) Context() context.Context { return b.ctx }

// TempDir implements testing.TB.
func (b *StandaloneTB) TempDir() string { return b.directory }

// Failed implements testing.TB.
func (b *StandaloneTB) Failed() bool { return false }

// Name implements testing.TB.
func (b *StandaloneTB) Name() string { return "bench" }

// Cleanup implements testing.TB.
func (b *StandaloneTB) Cleanup(clean func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, clean)
}

// Logf implements testing.TB. It discards the message.
func (b *StandaloneTB) Logf(string, ...any) {}

// Log implements testing.TB. It discards the message.
func (b *StandaloneTB) Log(...any) {}

// Errorf implements testing.TB. It panics like Fatalf.
func (b *StandaloneTB) Errorf(format string, args ...any) { b.Fatalf(format, args...) }

// Error implements testing.TB. It panics like Fatal.
func (b *StandaloneTB) Error(args ...any) { b.Fatal(args...) }

// Fatalf implements testing.TB. It panics; Failure turns the recovered value into an error.
func (b *StandaloneTB) Fatalf(format string, args ...any) {
	panic(standaloneFailure{fmt.Sprintf(format, args...)})
}

// Fatal implements testing.TB. It panics; Failure turns the recovered value into an error.
func (b *StandaloneTB) Fatal(args ...any) { panic(standaloneFailure{fmt.Sprint(args...)}) }

// Failure returns the error for a recovered panic of Error, Errorf, Fatal or Fatalf, or nil if
// nothing was recovered. It panics again with any other recovered value.
func (b *StandaloneTB) Failure(recovered any) error {
	switch failure := recovered.(type) {
	case nil:
		return nil
	case standaloneFailure:
		return errors.New(failure.message)
	default:
		panic(recovered)
	}
}

// Close runs the clean-ups in the reverse order of their registration and removes the temporary
// directory.
func (b *StandaloneTB) Close() {
	b.mu.Lock()
	cleanups := b.cleanups
	b.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	// A temporary directory that can't be removed does no harm.
	_ = os.RemoveAll(b.directory)
}
