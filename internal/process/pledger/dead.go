package pledger

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// maxDeclareAttempts bounds the attempts to mark a list as dead while other
// writers change it.
const maxDeclareAttempts = 5

// Guarantors returns the stored guarantors of an incarnation.
func (p *Pledger) Guarantors(ctx context.Context, daemon string, number int64) (guarantors []Guarantor, err error) {
	defer func() { err = eris.Wrapf(err, "reading the guarantors of incarnation %d of %s", number, daemon) }()
	list, _, err := p.loadList(ctx, Key(daemon, number))
	return list.Guarantors, err
}

// DeclareDead stores an operator's statement that an incarnation whose member
// record is gone has ended. It can then be evicted without blocks of its
// guarantors.
func (p *Pledger) DeclareDead(ctx context.Context, daemon string, number int64) (err error) {
	defer func() { err = eris.Wrapf(err, "declaring incarnation %d of %s dead", number, daemon) }()
	if err := p.checkGone(ctx, incarnation{daemon: daemon, number: number}); err != nil {
		return err
	}
	for range maxDeclareAttempts {
		err = p.markDead(ctx, Key(daemon, number))
		if !errors.Is(err, errs.ErrConflict) {
			break
		}
	}
	if err != nil {
		return err
	}
	p.settings.Recorder.Record(time.Now(), EventDeclaredDead, recorder.Fields{
		"daemon": daemon, "incarnation": strconv.FormatInt(number, 10),
	})
	return nil
}

// markDead marks a list of guarantors as dead. An incarnation without a list has
// no guarantors.
func (p *Pledger) markDead(ctx context.Context, key string) error {
	list, revision, err := p.loadList(ctx, key)
	if err != nil || revision == 0 || list.Dead {
		return err
	}
	value, err := json.Marshal(list.WithDead(rand.Text()))
	if err != nil {
		return err
	}
	_, err = storer.Commit(ctx, p.settings.Store, storer.Swap{Key: key, Expected: revision, Value: value})
	return err
}

// loadList reads a list of guarantors from the store. If there is none, it
// returns an empty list and revision zero.
func (p *Pledger) loadList(ctx context.Context, key string) (List, storer.Revision, error) {
	entry, err := p.settings.Store.Get(ctx, key)
	if errors.Is(err, errs.ErrNotFound) {
		return List{}, 0, nil
	}
	if err != nil {
		return List{}, 0, err
	}
	list, err := parseList(entry)
	return list, entry.Revision, err
}
