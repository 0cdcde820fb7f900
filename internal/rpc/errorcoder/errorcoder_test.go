package errorcoder

import (
	"errors"
	"fmt"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

func TestRoundTrip(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		want := &errs.RefusedError{What: "plan", Why: "it is outdated", Remedy: "plan again"}
		var got *errs.RefusedError
		assertAs(t, fmt.Errorf("confirm: %w", want), &got)
		if got != nil && *got != *want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("unknown outcome", func(t *testing.T) {
		var got *errs.UnknownOutcomeError
		assertAs(t, &errs.UnknownOutcomeError{Op: "apply", Cause: errors.New("cut")}, &got)
	})
	t.Run("unknown outcome with another cause", func(t *testing.T) {
		causes := []error{twirp.NewError(twirp.Unavailable, "busy"), errs.ErrConflict, &errs.RefusedError{What: "x"}, &errs.StoreUnavailableError{Op: "y", Cause: errs.ErrNotFound}}
		for _, cause := range causes {
			var got *errs.UnknownOutcomeError
			assertAs(t, &errs.UnknownOutcomeError{Op: "cancel", Cause: cause}, &got)
		}
	})
	t.Run("unavailable", func(t *testing.T) {
		var got *errs.StoreUnavailableError
		assertAs(t, &errs.StoreUnavailableError{Op: "apply", Cause: errors.New("down")}, &got)
	})
	t.Run("faulty document", func(t *testing.T) {
		want := &errs.DocumentError{Name: "i.yaml", Problems: []errs.DocumentProblem{{Line: 3, Key: "kind", Message: "is missing"}}}
		var got *errs.DocumentError
		assertAs(t, fmt.Errorf("plan: %w", want), &got)
		if got != nil && got.Error() != want.Error() {
			t.Errorf("got %v, want %v", got, want)
		}
	})
	t.Run("conflict", func(t *testing.T) {
		if got := Decode(Encode(errs.ErrConflict)); !errors.Is(got, errs.ErrConflict) {
			t.Errorf("got %v, want %v", got, errs.ErrConflict)
		}
	})
	t.Run("an error of an intermediary stays as it is", func(t *testing.T) {
		var got twirp.Error
		assertAs[twirp.Error](t, twirp.NewError(twirp.Unavailable, "busy"), &got)
	})
	t.Run("not owner", func(t *testing.T) {
		if got := Decode(Encode(errs.ErrFenced)); !errors.Is(got, errs.ErrNotOwner) {
			t.Errorf("got %v, want %v", got, errs.ErrNotOwner)
		}
	})
}

func assertAs[E error](t *testing.T, err error, target *E) {
	t.Helper()
	if got := Decode(Encode(err)); !errors.As(got, target) {
		t.Errorf("got %T %v, want %T", got, got, *target)
	}
}
