// Package translator turns the project's typed errors into twirp errors and
// back, so that a caller of a service sees the error its handler returned.
package translator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// Keys of the metadata that carries the details of an error.
const (
	metaDocument = "document"
	metaRefused  = "refused"
	metaOp       = "op"
)

// ServerOption translates the errors of a service's handlers.
func ServerOption() twirp.ServerOption {
	return twirp.WithServerInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			answer, err := next(ctx, request)
			return answer, Encode(err)
		}
	})
}

// Encode returns the twirp error for an error; nil stays nil and twirp errors
// stay as they are.
func Encode(err error) error {
	var (
		encoded     twirp.Error
		faulty      *errs.DocumentError
		refused     *errs.RefusedError
		unavailable *errs.StoreUnavailableError
		unknown     *errs.UnknownOutcomeError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &encoded):
		return encoded
	case errors.As(err, &faulty):
		return withDetails(twirp.InvalidArgument, err, metaDocument, faulty)
	case errors.As(err, &refused):
		return withDetails(twirp.FailedPrecondition, err, metaRefused, refused)
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unknown, err.Error()).WithMeta(metaOp, unknown.Op)
	case errors.As(err, &unavailable):
		return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaOp, unavailable.Op)
	case errors.Is(err, errs.ErrConflict):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, errs.ErrNotFound):
		return twirp.NotFoundError(err.Error())
	case errors.Is(err, errs.ErrNotOwner), errors.Is(err, errs.ErrFenced):
		return twirp.NewError(twirp.Unavailable, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return twirp.NewError(twirp.DeadlineExceeded, err.Error())
	default:
		return twirp.InternalErrorWith(err)
	}
}

func withDetails(code twirp.ErrorCode, err error, key string, details any) error {
	encoded, marshalErr := json.Marshal(details)
	if marshalErr != nil {
		return twirp.NewError(code, err.Error())
	}
	return twirp.NewError(code, err.Error()).WithMeta(key, string(encoded))
}

// Decode returns the typed error that a twirp error carries. Other errors are
// returned as they are.
func Decode(err error) error {
	var encoded twirp.Error
	if !errors.As(err, &encoded) {
		return err
	}
	var (
		faulty  errs.DocumentError
		refused errs.RefusedError
	)
	switch {
	case decodeMeta(encoded, metaDocument, &faulty):
		return &faulty
	case decodeMeta(encoded, metaRefused, &refused):
		return &refused
	case encoded.Code() == twirp.Unknown && encoded.Meta(metaOp) != "":
		return &errs.UnknownOutcomeError{Op: encoded.Meta(metaOp), Cause: errors.New(encoded.Msg())}
	case encoded.Code() == twirp.Unavailable && encoded.Meta(metaOp) != "":
		return &errs.StoreUnavailableError{Op: encoded.Meta(metaOp), Cause: errors.New(encoded.Msg())}
	default:
		return err
	}
}

func decodeMeta(encoded twirp.Error, key string, details any) bool {
	text := encoded.Meta(key)
	return text != "" && json.Unmarshal([]byte(text), details) == nil
}
