// Package errorcoder encodes the typed errors of package errs as twirp errors, and
// decodes them.
package errorcoder

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// Metadata keys of encoded errors.
const (
	metaWhat   = "what"
	metaWhy    = "why"
	metaRemedy = "remedy"
	metaOp     = "op"
	// metaDocument is the key of an *errs.DocumentError in JSON.
	metaDocument = "document"
)

// Encode returns the twirp error for a typed error, or nil if err is nil. Twirp
// errors stay as they are; errors of other types become internal errors.
func Encode(err error) error {
	var refused *errs.RefusedError
	var document *errs.DocumentError
	var unavailable *errs.StoreUnavailableError
	var unknown *errs.UnknownOutcomeError
	var coded twirp.Error
	switch {
	case err == nil:
		return nil
	// An unknown outcome is checked first, because it may wrap any other error.
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unknown, err.Error()).WithMeta(metaOp, unknown.Op)
	case errors.As(err, &coded):
		return coded
	case errors.As(err, &refused):
		return encodeRefused(refused)
	case errors.As(err, &document):
		return encodeDocument(document)
	case errors.Is(err, errs.ErrConflict):
		return twirp.NewError(twirp.AlreadyExists, err.Error())
	case errors.Is(err, errs.ErrNotOwner), errors.Is(err, errs.ErrFenced):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, errs.ErrNotFound):
		return twirp.NotFoundError(err.Error())
	case errors.As(err, &unavailable):
		return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaOp, unavailable.Op)
	default:
		return twirp.InternalErrorWith(err)
	}
}

func encodeRefused(refused *errs.RefusedError) error {
	return twirp.NewError(twirp.FailedPrecondition, refused.Error()).
		WithMeta(metaWhat, refused.What).
		WithMeta(metaWhy, refused.Why).
		WithMeta(metaRemedy, refused.Remedy)
}

func encodeDocument(document *errs.DocumentError) error {
	coded := twirp.NewError(twirp.InvalidArgument, document.Error())
	details, err := json.Marshal(document)
	if err != nil {
		return coded
	}
	return coded.WithMeta(metaDocument, string(details))
}

// Decode returns the typed error that a twirp error encodes. Other errors are
// returned unchanged, such as twirp errors of an intermediary.
func Decode(err error) error {
	var coded twirp.Error
	if !errors.As(err, &coded) {
		return err
	}
	if text := coded.Meta(metaDocument); text != "" {
		return decodeDocument(text, err)
	}
	switch coded.Code() {
	case twirp.AlreadyExists:
		return errs.ErrConflict
	case twirp.FailedPrecondition:
		if coded.Meta(metaWhat) == "" {
			return err
		}
		return &errs.RefusedError{
			What:   coded.Meta(metaWhat),
			Why:    coded.Meta(metaWhy),
			Remedy: coded.Meta(metaRemedy),
		}
	case twirp.Aborted:
		return errs.ErrNotOwner
	case twirp.NotFound:
		return errs.ErrNotFound
	case twirp.Unavailable:
		if coded.Meta(metaOp) == "" {
			return err
		}
		return &errs.StoreUnavailableError{Op: coded.Meta(metaOp), Cause: errors.New(coded.Msg())}
	case twirp.Unknown:
		if coded.Meta(metaOp) == "" {
			return err
		}
		return &errs.UnknownOutcomeError{Op: coded.Meta(metaOp), Cause: errors.New(coded.Msg())}
	default:
		return err
	}
}

// decodeDocument decodes a *errs.DocumentError from JSON, or returns the given
// error if that fails.
func decodeDocument(text string, otherwise error) error {
	var document errs.DocumentError
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		return otherwise
	}
	return &document
}

// ServerOption returns the option that makes a twirp server encode the errors of
// its handlers with Encode.
func ServerOption() twirp.ServerOption {
	return twirp.WithServerInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, req any) (any, error) {
			resp, err := next(ctx, req)
			return resp, Encode(err)
		}
	})
}
