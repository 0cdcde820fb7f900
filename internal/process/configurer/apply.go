package configurer

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// AnyVersion is the base version of a change that applies to any stored
	// version.
	AnyVersion = -1
	// storeTimeout bounds each read and each write of the stored declarations
	// during a change.
	storeTimeout = 2 * time.Second
	// maxWriteAttempts bounds the writes of one change.
	maxWriteAttempts = 5
	// confirmationTimeout is how long a change waits for the members to confirm
	// it. It exceeds ProofLifetime, so that by then no daemon may still start
	// tasks on the proof of an earlier version.
	confirmationTimeout = ProofLifetime + time.Second
	// pushRetryDelay is the delay between two pushes to a peer.
	pushRetryDelay = 200 * time.Millisecond
)

// A Result describes an accepted change.
type Result struct {
	// Version is the number of the durable version that holds the document.
	Version int64
	// Unchanged is true if the store already held this document.
	Unchanged bool
	// Unconfirmed lists the members that have not confirmed the version in
	// time. They can't start tasks until they have it.
	Unconfirmed []string
}

// Apply replaces the stored document if the store still holds the base version.
// It returns once the change is durable and every member has either confirmed it
// or may no longer start tasks under an earlier version.
//
// It returns the parser's error for an invalid document, *errs.RefusedError if
// the store holds another version than base, *errs.UnknownOutcomeError if it
// can't be determined whether the change took effect, and
// *errs.StoreUnavailableError if it didn't.
func (c *Configurer) Apply(ctx context.Context, document []byte, base int64) (result Result, err error) {
	defer func() { err = eris.Wrap(err, "applying declarations") }()
	if _, err := declarer.Parse(documentName, document); err != nil {
		return Result{}, err
	}
	return c.change(ctx, base, func([]byte) ([]byte, error) { return document, nil })
}

// SetDataCentre takes a data centre out of service or brings it back. It returns
// the same errors as Apply, and *errs.RefusedError for an undeclared data centre.
func (c *Configurer) SetDataCentre(ctx context.Context, name string, out bool) (result Result, err error) {
	defer func() { err = eris.Wrapf(err, "setting data centre %s", name) }()
	return c.change(ctx, AnyVersion, func(document []byte) ([]byte, error) {
		return declarer.EditDataCentre(document, name, out)
	})
}

// change applies edit to the stored document, writes the edited document and
// distributes it to the members. It retries writes that met a conflict or whose
// outcome is unknown; a random attempt ID in the record shows whether one of these
// writes was applied.
func (c *Configurer) change(ctx context.Context, base int64, edit func([]byte) ([]byte, error)) (Result, error) {
	attempt := rand.Text()
	var lastErr error
	for range maxWriteAttempts {
		stored, entry, err := c.load(ctx)
		if err != nil {
			return Result{}, errors.Join(err, lastErr)
		}
		if version, ok := stored.applied(attempt, entry.Revision); ok {
			c.activateEntry(entry, "apply")
			return c.accept(ctx, version)
		}
		if base != AnyVersion && base != int64(entry.Revision) {
			return Result{}, c.baseConflict(base, entry.Revision, stored, edit)
		}
		document, err := edit([]byte(stored.Document))
		if err != nil {
			return Result{}, err
		}
		if entry.Revision != 0 && string(document) == stored.Document {
			c.activateEntry(entry, "apply")
			result, err := c.accept(ctx, int64(entry.Revision))
			result.Unchanged = true
			return result, err
		}
		updated := envelope{
			Document: string(document), Attempt: attempt,
			FormerAttempt: stored.Attempt, FormerVersion: int64(entry.Revision),
		}
		revision, err := c.write(ctx, entry.Revision, updated)
		if err == nil {
			_ = c.activate(int64(revision), document, "apply")
			return c.accept(ctx, int64(revision))
		}
		var unavailable *errs.StoreUnavailableError
		if errors.As(err, &unavailable) && lastErr == nil {
			return Result{}, err
		}
		lastErr = preferUnknown(lastErr, err)
	}
	return Result{}, lastErr
}

// preferUnknown returns the error to report to the operator after another
// failed attempt: once the outcome of a write was unknown, a later error doesn't
// settle it, so the unknown outcome is kept.
func preferUnknown(previous, err error) error {
	var unknown *errs.UnknownOutcomeError
	if errors.As(previous, &unknown) {
		return previous
	}
	return err
}

// load reads the stored declarations and their store entry. If there are none,
// it returns an empty envelope at revision zero.
func (c *Configurer) load(ctx context.Context) (envelope, storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.settings.Store.Get(ctx, Key)
	if errors.Is(err, errs.ErrNotFound) {
		return envelope{}, storer.Entry{Key: Key}, nil
	}
	if err != nil {
		return envelope{}, storer.Entry{}, err
	}
	stored, err := parseEnvelope(entry)
	return stored, entry, err
}

// write replaces the stored declarations if they still have the expected
// revision.
func (c *Configurer) write(ctx context.Context, expected storer.Revision, updated envelope) (storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := updated.encode()
	if err != nil {
		return 0, err
	}
	return c.settings.Store.CompareAndSwap(ctx, storer.Swap{Key: Key, Expected: expected, Value: value})
}

// applied returns the version that an attempt created, if the attempt wrote this
// envelope, which is stored at the given revision, or the envelope that this one
// replaced. Otherwise it returns false.
func (e envelope) applied(attempt string, revision storer.Revision) (version int64, ok bool) {
	switch attempt {
	case e.Attempt:
		return int64(revision), true
	case e.FormerAttempt:
		return e.FormerVersion, true
	default:
		return 0, false
	}
}

// baseConflict returns the refusal of a change whose base is not the stored
// version, found. The refusal lists what the change would alter in that version.
func (c *Configurer) baseConflict(base int64, found storer.Revision, stored envelope, edit func([]byte) ([]byte, error)) error {
	wanted, err := edit([]byte(stored.Document))
	if err != nil {
		return err
	}
	return &errs.RefusedError{
		What: "the change of the declarations",
		Why: fmt.Sprintf("it is based on version %d, but version %d is in force; the change would alter the latter as follows: %s",
			base, found, summarise([]byte(stored.Document), wanted)),
		Remedy: "fetch the version in force, merge it and apply again",
	}
}

// summarise lists what the wanted document would change in the stored one, up to
// maxChanges changes.
func summarise(stored, wanted []byte) string {
	const maxChanges = 10
	before, err := declarer.Parse(documentName, stored)
	if err != nil {
		return err.Error()
	}
	after, err := declarer.Parse(documentName, wanted)
	if err != nil {
		return err.Error()
	}
	changes := declarer.Diff(before, after)
	if len(changes) == 0 {
		return "comments or layout only"
	}
	var lines []string
	for _, change := range changes[:min(len(changes), maxChanges)] {
		lines = append(lines, change.String())
	}
	if len(changes) > maxChanges {
		lines = append(lines, fmt.Sprintf("and %d more", len(changes)-maxChanges))
	}
	return strings.Join(lines, "; ")
}

// accept distributes a durable version to the members, waits for their
// confirmations and records the change as accepted.
func (c *Configurer) accept(ctx context.Context, version int64) (Result, error) {
	current := c.Current()
	unconfirmed := c.distribute(ctx, current)
	c.settings.Recorder.Record(time.Now(), EventAccepted, recorder.Fields{
		"version":     strconv.FormatInt(version, 10),
		"unconfirmed": strings.Join(unconfirmed, " "),
	})
	return Result{Version: version, Unconfirmed: unconfirmed}, nil
}

// distribute pushes a version to all members and returns those that have not
// confirmed it within confirmationTimeout.
func (c *Configurer) distribute(ctx context.Context, current declarer.Version) []string {
	c.mu.Lock()
	group := c.group
	c.mu.Unlock()
	if group == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	var (
		mu          sync.Mutex
		unconfirmed []string
		pushes      sync.WaitGroup
	)
	for _, peer := range group.Peers() {
		pushes.Go(func() {
			if c.push(ctx, peer.Address, current) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unconfirmed = append(unconfirmed, peer.Daemon)
		})
	}
	pushes.Wait()
	slices.Sort(unconfirmed)
	return unconfirmed
}

// push sends a version to a peer until the peer confirms it or the context ends,
// and reports whether it was confirmed.
func (c *Configurer) push(ctx context.Context, address string, current declarer.Version) bool {
	req := &kumquatv1.PushConfigurationRequest{Version: current.Number, Document: current.Document}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		resp, err := c.settings.Dial(address).PushConfiguration(callCtx, req)
		cancel()
		if err == nil && resp.Version >= current.Number {
			return true
		}
		pauser.Sleep(ctx, pushRetryDelay)
	}
	return false
}
