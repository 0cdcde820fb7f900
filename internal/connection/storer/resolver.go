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

// ErrUnchanged reports a key that is as it was before a write of unknown
// outcome. The write may still arrive; repeating the same swap is safe,
// because at most one of the two can find the expected revision.
var ErrUnchanged = errors.New("the key is unchanged")

// ErrReplaced reports a key that holds something else after a write of unknown
// outcome: the write was refused, or it was applied and has been replaced
// since. It is an errs.ErrConflict.
var ErrReplaced = fmt.Errorf("the key holds another value: %w", errs.ErrConflict)

// Resolve turns the unknown outcome of a swap into a known one by reading the
// key back. The value has to carry a token of the writer, so that nobody else
// writes the same bytes. It returns the new revision if the swap was applied,
// ErrReplaced if the key holds something else, ErrUnchanged if nothing has
// happened to it, and the unknown outcome if the key can't be read. Other
// errors than *errs.UnknownOutcomeError are returned as they are.
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

// Commit makes a swap and resolves unknown outcomes until the outcome is known
// or the context ends. It repeats the swap only on its original condition. It
// returns errs.ErrConflict, *errs.StoreUnavailableError or, if the context
// ended first, *errs.UnknownOutcomeError. A swap that requires absence must
// not name a key that others delete, as the repeat would create it again.
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

// afterUnknown keeps an outcome unknown after an earlier attempt whose outcome
// was: a conflict may be with the writer's own value, and a store that can't
// be reached doesn't undo what that attempt did.
func afterUnknown(err, unresolved error) error {
	var unavailable *errs.StoreUnavailableError
	if unresolved != nil && (errors.Is(err, errs.ErrConflict) || errors.As(err, &unavailable)) {
		return unresolved
	}
	return err
}

// Pauses between two attempts of one swap.
const (
	pauseShortest = 20 * time.Millisecond
	pauseLongest  = time.Second
)
