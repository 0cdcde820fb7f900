package conductor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// relocateInterval is the pause between looks for submissions that can't go on in this
	// part, and maxMovesPerLook the number of them that one look hands to other parts.
	relocateInterval = 500 * time.Millisecond
	maxMovesPerLook  = 16
	// moveRetryAfter is how long a submission stays that could not be handed to another part.
	moveRetryAfter = 3 * time.Second
	// pledgeAge is the time within which the owner of another part learns of a submission.
	pledgeAge = 2 * time.Second
	// moveRetryDelay is the pause after a transaction whose outcome is not known.
	moveRetryDelay = 500 * time.Millisecond
)

// A pledge is what a submission needs that was handed to another part.
type pledge struct {
	part  int
	needs []partitioner.Need
	at    time.Time
}

// errLeft says that a submission was not found where it was to be handed on from.
var errLeft = errors.New("submission has ended or was handed on")

// relocate hands submissions that can't go on in this part to others.
func (c *Conductor) relocate() {
	for pauser.Sleep(c.ctx, relocateInterval) {
		offers := make(map[string]int)
		c.pledges = slices.DeleteFunc(c.pledges, func(p pledge) bool { return time.Since(p.at) > pledgeAge })
		for range maxMovesPerLook {
			if more := c.relocateOne(offers); !more {
				break
			}
		}
	}
}

// relocateOne hands one submission to another part, and reports whether there was one that can't
// go on here. The map remembers the parts that serve what can't run here.
func (c *Conductor) relocateOne(offers map[string]int) (more bool) {
	c.mu.Lock()
	stranded, more := c.table.Stranded(time.Now())
	c.mu.Unlock()
	if !more {
		return false
	}
	began := time.Now()
	part, err := c.findPart(stranded, offers)
	if err == nil {
		c.pledges = append(c.pledges, pledge{part, stranded.Needs, began})
		err = c.move(stranded.ID, part)
	}
	now := time.Now()
	if c.ctx.Err() != nil {
		return false // the outcome of the move may not be known
	}
	if err != nil {
		c.apply(func(t *dispatcher.Table, _ time.Time) { t.GiveUpMove(stranded.ID, now.Add(moveRetryAfter)) })
	}
	fields := recorder.Fields{
		"id": stranded.ID, "part": strconv.Itoa(part), "impossible": strconv.FormatBool(stranded.IsImpossible),
		"needs": fmt.Sprint(stranded.Needs), "tookMs": strconv.FormatInt(now.Sub(began).Milliseconds(), 10),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.opts.Recorder.Record(now, EventMoved, fields)
	return true
}

// errNoPart says that no other part serves a submission, noPart that it was looked for.
var errNoPart = errors.New("no other part serves it now")

const noPart = -1

// findPart returns a part with room for a submission, or if it can't run here, another one that
// may run it. Parts that may hold it without being asked for come first.
func (c *Conductor) findPart(stranded dispatcher.Stranded, offers map[string]int) (part int, err error) {
	key := fmt.Sprint(stranded.Needs)
	part, isKnown := offers[key]
	if !isKnown || (part != noPart && !stranded.IsImpossible) {
		part = c.askParts(stranded)
		offers[key] = part
	}
	if part == noPart {
		return part, errNoPart
	}
	return part, nil
}

// askParts asks the owners of the other parts in turn, and returns the part for a submission or
// noPart.
func (c *Conductor) askParts(stranded dispatcher.Stranded) (found int) {
	found = noPart
	for _, part := range c.otherParts(stranded.ID) {
		offer, err := c.opts.AskOffer(c.ctx, part, c.withPledges(part, stranded.Needs))
		switch {
		case err != nil || !offer.IsAble:
		case offer.HasRoom:
			return part
		case found == noPart && stranded.IsImpossible:
			found = part
		}
	}
	return found
}

// withPledges returns needs together with those of the submissions that were handed to a part just
// before, which its owner may not know yet.
func (c *Conductor) withPledges(part int, needs []partitioner.Need) (all []partitioner.Need) {
	for _, need := range needs {
		for _, p := range c.pledges {
			for _, other := range p.needs {
				if p.part == part && other.Service == need.Service && other.Label == need.Label {
					need.Tasks += other.Tasks
				}
			}
		}
		all = append(all, need)
	}
	return all
}

// otherParts returns all other parts, those in which daemons look for a submission first.
func (c *Conductor) otherParts(id string) (parts []int) {
	parts = c.opts.Split.CandidateParts(id)
	for n := range c.opts.Split.Parts {
		if part := (parts[0] + n) % c.opts.Split.Parts; !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return slices.DeleteFunc(parts, func(part int) bool { return part == c.opts.Part })
}

// move hands a submission to another part. Nothing of it is started from before the transaction
// until the outcome is known.
func (c *Conductor) move(id string, part int) (err error) {
	c.mu.Lock()
	moved, ok := c.table.BeginMove(id, c.opts.Part, time.Now())
	progress := c.revs[id]
	c.mu.Unlock()
	if !ok {
		return errLeft
	}
	txn, err := c.moveTransaction(&moved, part, progress)
	if err != nil {
		return err
	}
	for isUnknown := false; ; isUnknown = true {
		ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
		_, err = c.opts.Store.Commit(ctx, txn)
		cancel()
		var conflict *transactor.ConflictError
		var refused *transactor.RefusedError
		switch {
		case err == nil, errors.As(err, &conflict) && c.isMoved(conflict, id, part):
			c.apply(func(t *dispatcher.Table, now time.Time) {
				t.EndMove(id, now)
				delete(c.revs, id)
			})
			return nil
		case conflict != nil, errors.As(err, &refused):
			return err // and so does an earlier call, whose conditions are the same
		case errors.Is(err, transactor.ErrUnavailable) && !isUnknown:
			return err
		}
		c.noteStoreFailure("hand a submission to another part", err)
		if !pauser.Sleep(c.ctx, moveRetryDelay) {
			return err
		}
	}
}

// moveTransaction returns the transaction that hands a submission to another part.
func (c *Conductor) moveTransaction(moved *submitter.Submission, part int, progress int64) (txn transactor.Transaction, err error) {
	value, err := moved.Encode()
	if err != nil {
		return txn, err
	}
	forward, err := submitter.EncodeForward(part)
	if err != nil {
		return txn, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
	defer cancel()
	from, to, home := c.keys.Submission(moved.ID), KeysOf(part).Submission(moved.ID), KeysOf(moved.Move.Home).Submission(moved.ID)
	item, err := c.opts.Store.Get(ctx, from)
	if err != nil {
		return txn, err
	}
	txn.Conditions = []transactor.Condition{
		{Key: c.opts.OwnerKey, Revision: c.opts.Fence},
		{Key: from, Revision: item.Revision},
		{Key: c.keys.Cancellation(moved.ID)},
		{Key: c.keys.Progress(moved.ID), Revision: progress},
	}
	txn.Writes = []transactor.Write{{Key: to, Value: value}}
	if to != home {
		txn.Conditions = append(txn.Conditions, transactor.Condition{Key: to})
		txn.Writes = append(txn.Writes, transactor.Write{Key: home, Value: forward})
	}
	if from != home {
		txn.Deletes = append(txn.Deletes, from)
	}
	if progress > 0 {
		txn.Deletes = append(txn.Deletes, c.keys.Progress(moved.ID))
	}
	return txn, nil
}

// isMoved reports whether a conflict shows that an earlier call has handed a submission to a part.
func (c *Conductor) isMoved(conflict *transactor.ConflictError, id string, part int) bool {
	if conflict.Find(c.opts.OwnerKey).Revision != c.opts.Fence {
		return false
	}
	item := conflict.Find(c.keys.Submission(id))
	to, isForward, err := submitter.DecodeForward(item.Value)
	return err == nil && (item.Revision == 0 || (isForward && to == part))
}
