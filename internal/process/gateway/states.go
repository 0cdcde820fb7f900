package gateway

import (
	"context"
	"errors"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// find reads a stored submission. It returns
// transactor.ErrNotFound if none of the candidate parts has it.
func (g *Gateway) find(ctx context.Context, id string) (part int, item transactor.Item, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, part = range g.parts.candidates(id) {
		item, err = g.opts.Store.Get(ctx, conductor.KeysOf(part).Submission(id))
		if err == nil {
			part, item, err = g.follow(ctx, id, part, item)
		}
		if !errors.Is(err, transactor.ErrNotFound) {
			return part, item, err
		}
	}
	return 0, item, err
}

// maxMoves is the number of moves of a submission, while it is looked for, that are followed.
const maxMoves = 3

// follow returns the part that a submission is in, and its item, given what is stored under its
// key in another part.
func (g *Gateway) follow(ctx context.Context, id string, home int, item transactor.Item) (part int, found transactor.Item, err error) {
	part = home
	for range maxMoves {
		to, isForward, err := submitter.DecodeForward(item.Value)
		if err != nil || !isForward {
			return part, item, err
		}
		found, err = g.opts.Store.Get(ctx, conductor.KeysOf(to).Submission(id))
		if err == nil {
			g.parts.add(id, to)
			return to, found, nil
		}
		if !errors.Is(err, transactor.ErrNotFound) {
			return to, found, err
		}
		// It was handed on since, or deleted.
		if item, err = g.opts.Store.Get(ctx, conductor.KeysOf(home).Submission(id)); err != nil {
			return home, item, err
		}
	}
	return part, found, transactor.ErrUnknown
}

// State returns a submission's state from the owner of its part. If no owner answers
// or knows the submission, it returns the state in the store.
func (g *Gateway) State(ctx context.Context, id string) (state submitter.State, known bool, err error) {
	candidates := g.parts.candidates(id)
	for _, part := range candidates {
		if state, known = g.ownerState(ctx, part, id); known {
			g.parts.add(id, part)
			return state, true, nil
		}
	}
	return g.storedState(ctx, id, candidates)
}

// ownerState asks the owner of one part for a submission's state. known is false if the
// owner does not know the submission or does not answer.
func (g *Gateway) ownerState(ctx context.Context, part int, id string) (state submitter.State, known bool) {
	if local := g.opts.LocalOwner(part); local != nil {
		return local.State(id)
	}
	to := g.target(part)
	if to.Address == "" {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	state, known, err := g.opts.Peers.State(ctx, to, id)
	if err != nil {
		g.recheckOwner(err) // the caller asks the store next
	}
	return state, known
}

// storedState derives a submission's state from its records in the store, after the owners of
// some parts were asked.
func (g *Gateway) storedState(ctx context.Context, id string, asked []int) (state submitter.State, known bool, err error) {
	part, item, err := g.find(ctx, id)
	if errors.Is(err, transactor.ErrNotFound) {
		return "", false, nil
	}
	if err != nil {
		return "", false, err
	}
	if !slices.Contains(asked, part) {
		if state, known = g.ownerState(ctx, part, id); known {
			return state, true, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	keys := conductor.KeysOf(part)
	_, err = g.opts.Store.Get(ctx, keys.Cancellation(id))
	if err == nil {
		return submitter.Cancelled, true, nil
	}
	if !errors.Is(err, transactor.ErrNotFound) {
		return "", false, err
	}
	saved, err := g.opts.Store.Get(ctx, keys.Progress(id))
	if err != nil && !errors.Is(err, transactor.ErrNotFound) {
		return "", false, err
	}
	state, err = stateOf(item, saved)
	return state, err == nil, err
}

// stateOf returns the state of a submission by its item and that of its progress, which has no
// value if the owner has saved nothing.
func stateOf(item, saved transactor.Item) (state submitter.State, err error) {
	sub, err := submitter.Decode(item.Value)
	if err != nil {
		return "", err
	}
	var stored *submitter.Progress
	if len(saved.Value) > 0 {
		if stored, err = submitter.DecodeProgress(saved.Value); err != nil {
			return "", err
		}
	}
	switch progress := sub.Current(stored); {
	case progress == nil, progress != stored && progress.Next == 0:
		return submitter.Queued, nil
	case progress.State.IsFinal():
		return progress.State, nil
	default:
		return submitter.Running, nil
	}
}

// Pending returns the number of a queue's submissions in all parts that have not
// started.
func (g *Gateway) Pending(ctx context.Context, queue string) (n int, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	counts := make([]int, g.opts.Split.Parts)
	var group errgroup.Group
	for part := range counts {
		group.Go(func() (err error) {
			counts[part], err = g.pendingInPart(ctx, part, queue)
			return err
		})
	}
	if err = group.Wait(); err != nil {
		return 0, err
	}
	for _, count := range counts {
		n += count
	}
	return n, nil
}

// pendingInPart returns the number of a queue's submissions in one part that have not
// started.
func (g *Gateway) pendingInPart(ctx context.Context, part int, queue string) (n int, err error) {
	if local := g.opts.LocalOwner(part); local != nil {
		return local.Pending(queue), nil
	}
	n, err = g.opts.Peers.Pending(ctx, g.target(part), queue)
	if err != nil {
		g.recheckOwner(err)
	}
	return n, err
}
