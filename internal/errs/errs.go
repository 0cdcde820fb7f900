// Package errs holds the typed errors that cross package boundaries.
package errs

import (
	"errors"
	"fmt"
	"time"
)

// ErrConflict reports a compare-and-swap that the store refused because the
// key's revision was not the expected one.
var ErrConflict = errors.New("revision conflict")

// ErrNotFound reports a key, intent or task that does not exist.
var ErrNotFound = errors.New("not found")

// ErrNotOwner reports a call about a partition that the callee doesn't own.
var ErrNotOwner = errors.New("not the owner of the partition")

// ErrFenced reports an owner that lost its partition to a later epoch.
var ErrFenced = errors.New("fenced by a later epoch")

// A StoreUnavailableError reports a store call that provably had no effect.
type StoreUnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *StoreUnavailableError) Error() string {
	return fmt.Sprintf("store unavailable during %s: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreUnavailableError) Unwrap() error { return e.Cause }

// An UnknownOutcomeError reports a write that may or may not have taken
// effect. The caller must read the current state before it acts on the write.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// A NotRunError reports a request of which no byte reached a runner.
type NotRunError struct {
	Reason string
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// A RefusedError reports to an operator what was refused, why, and what to do
// about it.
type RefusedError struct {
	What   string
	Why    string
	Remedy string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused: %s; %s", e.What, e.Why, e.Remedy)
}
