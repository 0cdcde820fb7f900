package slopes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
)

// A bench stands for the test that the harness expects. It ends its clean-ups
// when it is closed.
type bench struct {
	testing.TB
	ctx       context.Context
	directory string

	mu       sync.Mutex
	cleanups []func()
}

// errBench is the panic of a bench that can't go on.
type errBench struct{ message string }

func newBench(ctx context.Context) (b *bench, err error) {
	directory, err := os.MkdirTemp("", "kumquat-slopes-")
	if err != nil {
		return nil, err
	}
	return &bench{ctx: ctx, directory: directory}, nil
}

// Helper implements testing.TB.
func (b *bench) Helper() {}

// Context implements testing.TB.
func (b *bench) Context() context.Context { return b.ctx }

// TempDir implements testing.TB.
func (b *bench) TempDir() string { return b.directory }

// Failed implements testing.TB.
func (b *bench) Failed() bool { return false }

// Name implements testing.TB.
func (b *bench) Name() string { return "slopes" }

// Cleanup implements testing.TB.
func (b *bench) Cleanup(clean func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, clean)
}

// Logf implements testing.TB; it drops the message.
func (b *bench) Logf(string, ...any) {}

// Log implements testing.TB; it drops the message.
func (b *bench) Log(...any) {}

// Errorf implements testing.TB.
func (b *bench) Errorf(format string, args ...any) { b.Fatalf(format, args...) }

// Error implements testing.TB.
func (b *bench) Error(args ...any) { b.Fatal(args...) }

// Fatalf implements testing.TB.
func (b *bench) Fatalf(format string, args ...any) { panic(errBench{fmt.Sprintf(format, args...)}) }

// Fatal implements testing.TB.
func (b *bench) Fatal(args ...any) { panic(errBench{fmt.Sprint(args...)}) }

// failure returns the error of a bench that could not go on. Other panics go
// on.
func (b *bench) failure(recovered any) error {
	switch failure := recovered.(type) {
	case nil:
		return nil
	case errBench:
		return errors.New(failure.message)
	default:
		panic(recovered)
	}
}

// close runs the clean-ups, the last first.
func (b *bench) close() {
	b.mu.Lock()
	cleanups := b.cleanups
	b.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	// A directory that stays behind does no harm.
	_ = os.RemoveAll(b.directory)
}
