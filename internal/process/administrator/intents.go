package administrator

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// IntentPrefix is the prefix of the keys of confirmed intents in the store.
const IntentPrefix = "/kumquat/v1/ctl/intents/"

// load returns an intent's record and its revision. It returns errs.ErrNotFound if
// the store has no record of the intent.
func (a *Administrator) load(ctx context.Context, id string) (*kumquatv1.IntentRecord, storer.Revision, error) {
	entry, err := a.settings.Store.Get(ctx, IntentPrefix+id)
	if err != nil {
		return nil, 0, err
	}
	record := &kumquatv1.IntentRecord{}
	if err := proto.Unmarshal(entry.Value, record); err != nil {
		return nil, 0, fmt.Errorf("decode intent %s: %w", id, err)
	}
	return record, entry.Revision, nil
}

// findConfirmed returns the response to a repeated confirmation of a plan, or nil if
// the intent is new. It returns an error if another plan was confirmed under the
// intent's name.
func (a *Administrator) findConfirmed(ctx context.Context, plan *kumquatv1.Plan) (*kumquatv1.ConfirmResponse, error) {
	record, _, err := a.load(ctx, plan.Intent)
	if errors.Is(err, errs.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return responseFor(record, plan.Id)
}

// responseFor returns the response to the confirmation of a plan whose intent has a
// durable record. It refuses the confirmation if the record is of another plan.
func responseFor(record *kumquatv1.IntentRecord, plan string) (*kumquatv1.ConfirmResponse, error) {
	if record.Plan != plan {
		return nil, &errs.RefusedError{
			What:   "confirmation of " + record.Id,
			Why:    "another plan of that name was confirmed",
			Remedy: "choose another name, or see the confirmed intent with `kumquat status " + record.Id + "`",
		}
	}
	return &kumquatv1.ConfirmResponse{Intent: record.Id, AlreadyConfirmed: true}, nil
}

// create writes the record of a new intent. If operators confirm different plans of
// one name concurrently, the first write wins and the other plan is refused. After an
// unknown outcome, the record is read back.
func (a *Administrator) create(ctx context.Context, record *kumquatv1.IntentRecord) (*kumquatv1.ConfirmResponse, error) {
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode intent %s: %w", record.Id, err)
	}
	_, err = a.settings.Store.CompareAndSwap(ctx, storer.Swap{Key: IntentPrefix + record.Id, Value: value})
	var unknown *errs.UnknownOutcomeError
	switch {
	case err == nil:
		a.recordConfirmed(record)
		return &kumquatv1.ConfirmResponse{Intent: record.Id}, nil
	case errors.Is(err, errs.ErrConflict), errors.As(err, &unknown):
		return a.readBack(ctx, record, err)
	default:
		return nil, err
	}
}

// readBack determines the outcome of a write that met a conflict or whose outcome is
// unknown.
func (a *Administrator) readBack(ctx context.Context, record *kumquatv1.IntentRecord, cause error) (*kumquatv1.ConfirmResponse, error) {
	found, _, err := a.load(ctx, record.Id)
	if err != nil {
		// An absent record doesn't show that the write failed, because the store
		// may still apply it.
		return nil, &errs.UnknownOutcomeError{Op: "confirmation of " + record.Id, Cause: cause}
	}
	a.recordConfirmed(found)
	return responseFor(found, record.Plan)
}
