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
	// AnyVersion as a base version accepts whatever is in force.
	AnyVersion = -1
	// swapTimeout bounds one write of the declarations.
	swapTimeout = 2 * time.Second
	// swapTries bounds the writes of one change.
	swapTries = 5
	// spreadTimeout is how long a change waits for confirmations. After it no
	// daemon can have start authority under a former version.
	spreadTimeout = ProofLifetime + time.Second
	// pushPause is the time between two pushes to a peer.
	pushPause = 200 * time.Millisecond
)

// A Result is the outcome of an accepted change.
type Result struct {
	// Version is the durable version that holds the document.
	Version int64
	// Unchanged tells that the document was in force already.
	Unchanged bool
	// Unconfirmed are the members that have not confirmed the version in
	// time. They can't start tasks before they have it.
	Unconfirmed []string
}

// Apply replaces the document if the store still holds the base version. It
// returns when the change is durable and every member has confirmed it or has
// lost its start authority.
//
// Errors: the parser's for an invalid document, *errs.RefusedError for a base
// version that was overtaken, *errs.UnknownOutcomeError if the store doesn't
// tell whether the change took effect, *errs.StoreUnavailableError if it
// didn't.
func (c *Configurer) Apply(ctx context.Context, document []byte, base int64) (result Result, err error) {
	defer func() { err = eris.Wrap(err, "applying declarations") }()
	if _, err := declarer.Parse(documentName, document); err != nil {
		return Result{}, err
	}
	return c.change(ctx, base, func([]byte) ([]byte, error) { return document, nil })
}

// SetDataCentre takes a data centre out of service or brings it back. The
// errors are those of Apply, and *errs.RefusedError for an undeclared one.
func (c *Configurer) SetDataCentre(ctx context.Context, name string, out bool) (result Result, err error) {
	defer func() { err = eris.Wrapf(err, "setting data centre %s", name) }()
	return c.change(ctx, AnyVersion, func(document []byte) ([]byte, error) {
		return declarer.EditDataCentre(document, name, out)
	})
}

// change writes what edit makes of the stored document and spreads it.
func (c *Configurer) change(ctx context.Context, base int64, edit func([]byte) ([]byte, error)) (Result, error) {
	attempt := rand.Text()
	var lastErr error
	for range swapTries {
		stored, entry, err := c.load(ctx)
		if err != nil {
			return Result{}, errors.Join(err, lastErr)
		}
		if version, ok := stored.applied(attempt, entry.Revision); ok {
			c.takeEntry(entry, "apply")
			return c.accept(ctx, version)
		}
		if base != AnyVersion && base != int64(entry.Revision) {
			return Result{}, c.overtaken(base, entry.Revision, stored, edit)
		}
		document, err := edit([]byte(stored.Document))
		if err != nil {
			return Result{}, err
		}
		if entry.Revision != 0 && string(document) == stored.Document {
			c.takeEntry(entry, "apply")
			result, err := c.accept(ctx, int64(entry.Revision))
			result.Unchanged = true
			return result, err
		}
		next := envelope{
			Document: string(document), Attempt: attempt,
			FormerAttempt: stored.Attempt, FormerVersion: int64(entry.Revision),
		}
		revision, err := c.write(ctx, entry.Revision, next)
		if err == nil {
			_ = c.offer(int64(revision), document, "apply")
			return c.accept(ctx, int64(revision))
		}
		var unavailable *errs.StoreUnavailableError
		if errors.As(err, &unavailable) && lastErr == nil {
			return Result{}, err
		}
		lastErr = keepUnknown(lastErr, err)
	}
	return Result{}, lastErr
}

// keepUnknown returns the error that tells the operator most: once a write's
// outcome was unknown, it stays so until read back.
func keepUnknown(last, err error) error {
	var unknown *errs.UnknownOutcomeError
	if errors.As(last, &unknown) {
		return last
	}
	return err
}

// load reads the stored document; an absent one is empty at revision zero.
func (c *Configurer) load(ctx context.Context) (envelope, storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
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

func (c *Configurer) write(ctx context.Context, expected storer.Revision, next envelope) (storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	return c.settings.Store.CompareAndSwap(ctx, storer.Swap{Key: Key, Expected: expected, Value: value})
}

// applied reports whether the attempt is in the store or was just before.
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

// overtaken tells an operator what changed since the base version.
func (c *Configurer) overtaken(base int64, found storer.Revision, stored envelope, edit func([]byte) ([]byte, error)) error {
	wanted, err := edit([]byte(stored.Document))
	if err != nil {
		return err
	}
	return &errs.RefusedError{
		What: "the change of the declarations",
		Why: fmt.Sprintf("it is based on version %d, but version %d is in force; yours would change there: %s",
			base, found, summarise([]byte(stored.Document), wanted)),
		Remedy: "fetch the version in force, merge it and apply again",
	}
}

// summarise lists what the wanted document would change in the stored one.
func summarise(stored, wanted []byte) string {
	const most = 10
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
	for _, change := range changes[:min(len(changes), most)] {
		lines = append(lines, change.String())
	}
	if len(changes) > most {
		lines = append(lines, fmt.Sprintf("and %d more", len(changes)-most))
	}
	return strings.Join(lines, "; ")
}

// accept spreads a durable version and waits for confirmations.
func (c *Configurer) accept(ctx context.Context, version int64) (Result, error) {
	current := c.Current()
	unconfirmed := c.spread(ctx, current)
	c.settings.Recorder.Record(time.Now(), EventAccepted, recorder.Fields{
		"version":     strconv.FormatInt(version, 10),
		"unconfirmed": strings.Join(unconfirmed, " "),
	})
	return Result{Version: version, Unconfirmed: unconfirmed}, nil
}

// spread pushes a version to all members and returns those that have not
// confirmed it in time.
func (c *Configurer) spread(ctx context.Context, current declarer.Version) []string {
	c.mu.Lock()
	group := c.group
	c.mu.Unlock()
	if group == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
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

// push repeats until a peer has confirmed the version or the context ends.
func (c *Configurer) push(ctx context.Context, address string, current declarer.Version) bool {
	req := &kumquatv1.PushConfigurationRequest{Version: current.Number, Document: current.Document}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		resp, err := c.settings.Dial(address).PushConfiguration(call, req)
		cancel()
		if err == nil && resp.Version >= current.Number {
			return true
		}
		pauser.Sleep(ctx, pushPause)
	}
	return false
}
