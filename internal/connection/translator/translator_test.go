package translator

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// failing is an Operator whose Plan returns an error.
type failing struct {
	kumquatv1.Operator
	err error
}

func (f failing) Plan(context.Context, *kumquatv1.PlanRequest) (*kumquatv1.PlanResponse, error) {
	return nil, f.err
}

func TestErrorsSurviveTheWire(t *testing.T) {
	refused := &errs.RefusedError{What: "intent proofs", Why: "no worker has 4 accelerators", Remedy: "ask for 2 or fewer"}
	faulty := &errs.DocumentError{Name: "i.yaml", Problems: []errs.DocumentProblem{{Line: 3, Key: "kind", Message: "is missing"}}}
	t.Run("refused", func(t *testing.T) { assertTyped(t, fmt.Errorf("plan: %w", refused), refused) })
	t.Run("faulty document", func(t *testing.T) { assertTyped(t, faulty, faulty) })
	t.Run("unknown outcome", func(t *testing.T) {
		var unknown *errs.UnknownOutcomeError
		if err := overTheWire(&errs.UnknownOutcomeError{Op: "confirm", Cause: errors.New("reset")}); !errors.As(err, &unknown) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("store unavailable", func(t *testing.T) {
		var unavailable *errs.StoreUnavailableError
		if err := overTheWire(&errs.StoreUnavailableError{Op: "confirm", Cause: errors.New("refused")}); !errors.As(err, &unavailable) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("conflict", func(t *testing.T) { assertCode(t, errs.ErrConflict, twirp.Aborted) })
	t.Run("not found", func(t *testing.T) { assertCode(t, errs.ErrNotFound, twirp.NotFound) })
	t.Run("not the owner", func(t *testing.T) { assertCode(t, errs.ErrNotOwner, twirp.Unavailable) })
	t.Run("anything else", func(t *testing.T) { assertCode(t, errors.New("broken"), twirp.Internal) })
}

func overTheWire(err error) error {
	server := httptest.NewServer(kumquatv1.NewOperatorServer(failing{err: err}, ServerOption()))
	defer server.Close()
	client := kumquatv1.NewOperatorProtobufClient(server.URL, server.Client())
	_, err = client.Plan(context.Background(), &kumquatv1.PlanRequest{})
	return Decode(err)
}

func assertTyped(t *testing.T, err, want error) {
	t.Helper()
	if got := overTheWire(err); !reflect.DeepEqual(got, want) {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

func assertCode(t *testing.T, err error, want twirp.ErrorCode) {
	t.Helper()
	var got twirp.Error
	if !errors.As(overTheWire(err), &got) || got.Code() != want {
		t.Errorf("got %v, want code %s", got, want)
	}
}
