package cli

import (
	"errors"

	"github.com/jessevdk/go-flags"
	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// An exitCode tells a script how a command ended.
type exitCode int

// Exit codes. They are part of the tool's interface.
const (
	exitOK exitCode = 0
	// exitRefused means that the daemon refused; nothing has changed.
	exitRefused exitCode = 1
	// exitUsage means bad options or a faulty document; nothing has changed.
	exitUsage exitCode = 2
	// exitUnreachable means that no daemon answered, or that the store was
	// unavailable; nothing has changed.
	exitUnreachable exitCode = 3
	// exitUnknown means that a change may or may not have taken effect.
	exitUnknown exitCode = 4
	// exitLocal means a local failure of the tool, for example of reading a file.
	exitLocal exitCode = 5
	// exitDifferent means that diff --exit-code found differences.
	exitDifferent exitCode = 6
	// exitIncomplete means that a wait timed out, or that tasks of the intent were
	// refused or cancelled.
	exitIncomplete exitCode = 7
)

// exitCodesHelp is the list of exit codes in the help and in the reference.
const exitCodesHelp = `Exit codes:
0 done
1 refused; nothing has changed
2 bad options or a faulty document; nothing has changed
3 no daemon or store reached; nothing has changed
4 outcome unknown: a change may have taken effect
5 local failure of the tool, for example of reading a file
6 differences found (diff --exit-code)
7 a wait timed out, or tasks of the intent were refused or cancelled`

// A usageError reports invalid arguments.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// An unreachableError reports that no daemon answered a call.
type unreachableError struct{ causes []error }

// Error implements error.
func (e *unreachableError) Error() string {
	return "no daemon answered: " + errors.Join(e.causes...).Error()
}

// A differenceError reports that documents differ.
type differenceError struct{}

// Error implements error.
func (*differenceError) Error() string { return "the declarations differ" }

// An incompleteError reports a wait that timed out, or an intent with tasks that
// were refused or cancelled.
type incompleteError struct{ message string }

// Error implements error.
func (e *incompleteError) Error() string { return e.message }

// codeOf returns the exit code for an error.
func codeOf(err error) exitCode {
	var (
		parse       *flags.Error
		usage       *usageError
		faulty      *errs.DocumentError
		refused     *errs.RefusedError
		unknown     *errs.UnknownOutcomeError
		unavailable *errs.StoreUnavailableError
		unreachable *unreachableError
		different   *differenceError
		incomplete  *incompleteError
		answer      twirp.Error
	)
	switch {
	case err == nil:
		return exitOK
	// An unknown outcome is checked first, as it may wrap any of the other errors.
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &parse), errors.As(err, &usage), errors.As(err, &faulty):
		return exitUsage
	case errors.As(err, &refused), errors.Is(err, errs.ErrNotFound), errors.Is(err, errs.ErrConflict):
		return exitRefused
	case errors.As(err, &unavailable), errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &different):
		return exitDifferent
	case errors.As(err, &incomplete):
		return exitIncomplete
	case errors.As(err, &answer):
		return codeOfAnswer(answer.Code())
	default:
		return exitLocal
	}
}

// codeOfAnswer returns the exit code for a daemon's error that errorcoder.Decode doesn't
// convert to a type of package errs.
func codeOfAnswer(code twirp.ErrorCode) exitCode {
	switch code {
	case twirp.Unavailable:
		return exitUnreachable
	case twirp.Unknown, twirp.Internal, twirp.DeadlineExceeded, twirp.Canceled:
		return exitUnknown
	default:
		return exitRefused
	}
}
