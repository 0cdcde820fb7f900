package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
)

// ErrUnchanged reports that a key is still as it was before a write of unknown
// outcome. The write may still arrive. Repeating the same swap is safe, because
// at most one of the two can find the key at the expected revision.
var ErrUnchanged = errors.New("the key is unchanged")

// ErrReplaced reports that a key holds another value, or none, after a write of
// unknown outcome: the write was refused, or it was applied and the key has
// changed since. It wraps errs.ErrConflict.
var ErrReplaced = fmt.Errorf("the key holds another value: %w", errs.ErrConflict)

// Resolve determines the outcome of a swap that failed with an
// *errs.UnknownOutcomeError by reading the key back. The swap's value must
// contain a token of the writer, so that no other writer writes the same bytes.
// Resolve returns the new revision if the swap was applied, ErrUnchanged or
// ErrReplaced if the key doesn't hold the value, and the given error if the key
// can't be read. Errors of other types are returned unchanged.
func Resolve(ctx context.Context, store Store, swap Swap, outcome error) (Revision, error) {
	var unknown *errs.UnknownOutcomeError
	if !errors.As(outcome, &unknown) {
		return 0, outcome
	}
	entry, err := store.Get(ctx, swap.Key)
	switch {
	case errors.Is(err, errs.ErrNotFound) && swap.Expected == 0:
		return 0, ErrUnchanged
	case errors.Is(err, errs.ErrNotFound):
		return 0, ErrReplaced
	case err != nil:
		return 0, outcome
	case entry.Revision == swap.Expected:
		return 0, ErrUnchanged
	case bytes.Equal(entry.Value, swap.Value):
		return entry.Revision, nil
	default:
		return 0, ErrReplaced
	}
}

// Commit makes a swap and, while its outcome is unknown, resolves and repeats it
// until the outcome is known or the context ends. Each attempt has the original
// condition. Commit returns errs.ErrConflict, *errs.StoreUnavailableError or, if
// the context ended first, *errs.UnknownOutcomeError. A swap that requires the
// key's absence must not be used for a key that others delete, because a repeated
// attempt could create the key again.
func Commit(ctx context.Context, store Store, swap Swap) (Revision, error) {
	pauses := pauser.NewBackoff(pauseShortest, pauseLongest)
	var unresolved error
	for {
		revision, err := store.CompareAndSwap(ctx, swap)
		if err == nil {
			return revision, nil
		}
		err = afterUnknown(err, unresolved)
		revision, resolved := Resolve(ctx, store, swap, err)
		if resolved == nil {
			return revision, nil
		}
		var unknown *errs.UnknownOutcomeError
		if !errors.Is(resolved, ErrUnchanged) && !errors.As(resolved, &unknown) {
			return 0, resolved
		}
		unresolved = err
		if !pauser.Sleep(ctx, pauses.NextBackOff()) {
			return 0, unresolved
		}
	}
}

// afterUnknown returns the error of the earlier attempt if that attempt's outcome
// is still unknown and the new error doesn't settle it: a conflict may be with
// the value that the earlier attempt wrote, and an unavailable store doesn't show
// what that attempt did.
func afterUnknown(err, unresolved error) error {
	var unavailable *errs.StoreUnavailableError
	if unresolved != nil && (errors.Is(err, errs.ErrConflict) || errors.As(err, &unavailable)) {
		return unresolved
	}
	return err
}

// Bounds of the back-off delay between two attempts at one swap, before jitter.
const (
	pauseShortest = 20 * time.Millisecond
	pauseLongest  = time.Second
)
