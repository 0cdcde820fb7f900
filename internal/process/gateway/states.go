package gateway

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// find reads a submission's record from the store. It returns ErrNotFound if
// there is none at any of its homes.
func (g *Gateway) find(ctx context.Context, id string) (part int, item transactor.Item, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, part = range g.homes.of(id) {
		item, err = g.opts.Store.Get(ctx, conductor.KeysOf(part).Work(id))
		if !errors.Is(err, transactor.ErrNotFound) {
			return part, item, err
		}
	}
	return 0, item, err
}

// State returns a submission's state, from an owner or, while it can't be asked
// or does not know the submission, from the store.
func (g *Gateway) State(ctx context.Context, id string) (state submitter.State, known bool, err error) {
	for _, part := range g.homes.of(id) {
		if state, known = g.stateAt(ctx, part, id); known {
			g.homes.note(id, part)
			return state, true, nil
		}
	}
	return g.storedState(ctx, id)
}

// stateAt asks the owner of one home.
func (g *Gateway) stateAt(ctx context.Context, part int, id string) (state submitter.State, known bool) {
	if local := g.opts.Local(part); local != nil {
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
		g.suspect(err) // the store is asked next
	}
	return state, known
}

// storedState derives a state from the records.
func (g *Gateway) storedState(ctx context.Context, id string) (state submitter.State, known bool, err error) {
	part, _, err := g.find(ctx, id)
	if errors.Is(err, transactor.ErrNotFound) {
		return "", false, nil
	}
	if err != nil {
		return "", false, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	keys := conductor.KeysOf(part)
	_, err = g.opts.Store.Get(ctx, keys.Cancel(id))
	if err == nil {
		return submitter.Cancelled, true, nil
	}
	if !errors.Is(err, transactor.ErrNotFound) {
		return "", false, err
	}
	item, err := g.opts.Store.Get(ctx, keys.Progress(id))
	if errors.Is(err, transactor.ErrNotFound) {
		return submitter.Queued, true, nil
	}
	if err != nil {
		return "", false, err
	}
	progress, err := submitter.DecodeProgress(item.Value)
	if err != nil {
		return "", false, err
	}
	if progress.State.IsFinal() {
		return progress.State, true, nil
	}
	return submitter.Running, true, nil
}

// Pending returns the number of a queue's submissions that have not begun, in
// all parts.
func (g *Gateway) Pending(ctx context.Context, queue string) (n int, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	counts := make([]int, g.opts.Split.Parts)
	var group errgroup.Group
	for part := range counts {
		group.Go(func() (err error) {
			counts[part], err = g.pendingOf(ctx, part, queue)
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

// pendingOf returns the number of one part.
func (g *Gateway) pendingOf(ctx context.Context, part int, queue string) (n int, err error) {
	if local := g.opts.Local(part); local != nil {
		return local.Pending(queue), nil
	}
	n, err = g.opts.Peers.Pending(ctx, g.target(part), queue)
	if err != nil {
		g.suspect(err)
	}
	return n, err
}
