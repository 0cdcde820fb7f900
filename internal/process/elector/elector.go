// Package elector keeps the record of the daemon that owns all submissions and
// runners. The revision of the record is the owner's fencing token.
package elector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// Keys of the store. The record lasts; the presence key is held by a lease.
const (
	prefix      = "kumquat/owner/"
	recordKey   = prefix + "record"
	presenceKey = prefix + "presence"
)

// RecordKey is the key whose revision is the owner's fencing token.
const RecordKey = recordKey

// Times of the election.
const (
	// presenceTTL is the lease of the owner's presence key.
	presenceTTL = 2 * time.Second
	// renewEvery is the pause between renewals of the presence.
	renewEvery = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// watchFor is how long a watch of the record waits: a watch may be cut
	// without a word.
	watchFor = 1500 * time.Millisecond
	// watchTimeout bounds a watch with its answer.
	watchTimeout = watchFor + 700*time.Millisecond
	// MaxUnconfirmed is how long an owner goes on that can't confirm its record
	// in the store. A successor that can't tell that the owner has ended counts
	// on that.
	MaxUnconfirmed = 10 * time.Second
	// youth is the age from which daemons let younger ones go ahead, by
	// seniorityStep for each doubling, up to maxSeniority.
	youth         = 2 * time.Second
	seniorityStep = 12 * time.Millisecond
	maxSeniority  = 60 * time.Millisecond
	// retryAfter is the pause after a failed call.
	retryAfter = 250 * time.Millisecond
)

// An Owner is the content of the record.
type Owner struct {
	// Instance tells apart the processes of one daemon.
	Instance string `json:"instance"`
	// Address is where the owner serves its peers; empty if it has resigned.
	Address string `json:"address"`
	// Generation counts the owners.
	Generation int64 `json:"generation"`
	// Fence is the record's revision.
	Fence int64 `json:"-"`
	// Present says that the owner's presence key exists.
	Present bool `json:"-"`
}

// Options are the parts of an elector.
type Options struct {
	Store    transactor.Store
	Instance string
	Address  string
	// Delay tells daemons of the same age apart in an election, so that not all
	// campaign at once.
	Delay    time.Duration
	Recorder recorder.Recorder
	// Serve runs the duties of an owner until its context ends. The former owner
	// may go on for MaxUnconfirmed if it can't reach the store.
	Serve func(ctx context.Context, owner, former Owner)
}

// An Elector watches the record and campaigns when the owner is gone.
type Elector struct {
	opts      Options
	current   atomic.Pointer[Owner]
	startedAt time.Time
	lease     atomic.Int64 // of the presence key
	kick      chan struct{}
	done      sync.WaitGroup
	stop      context.CancelFunc

	mu       sync.Mutex
	resigned bool
	depose   context.CancelFunc // ends the present term
}

// New returns an elector that is not running yet.
func New(opts Options) *Elector {
	e := &Elector{opts: opts, kick: make(chan struct{}, 1), startedAt: time.Now()}
	e.current.Store(&Owner{})
	return e
}

// Run starts the elector.
func (e *Elector) Run(ctx context.Context) {
	ctx, e.stop = context.WithCancel(ctx)
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		e.loop(ctx)
	}()
}

// Close stops the elector and waits for the duties of an owner to end.
func (e *Elector) Close() {
	e.stop()
	e.done.Wait()
}

// Current returns the owner as it is known now.
func (e *Elector) Current() Owner { return *e.current.Load() }

// Depose ends this process's term: another owner has been seen.
func (e *Elector) Depose(now time.Time, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.depose != nil {
		e.opts.Recorder.Record(now, EventDeposed, recorder.Fields{"reason": reason, "fence": strconv.FormatInt(e.Current().Fence, 10)})
		e.depose()
	}
}

// Suspect asks for a look at the record, as the owner does not answer.
func (e *Elector) Suspect() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// loop follows the record until the context ends.
func (e *Elector) loop(ctx context.Context) {
	for ctx.Err() == nil {
		owner, revision, err := e.read(ctx)
		if err != nil {
			e.failed("read owner record", err)
			pauser.Sleep(ctx, retryAfter)
			continue
		}
		e.current.Store(&owner)
		if !owner.Present && !e.hasResigned() {
			if pauser.Sleep(ctx, e.opts.Delay+seniority(time.Since(e.startedAt))) {
				e.campaign(ctx, owner)
			}
			continue
		}
		e.watch(ctx, revision)
	}
}

// read returns the record and the revision to watch from.
func (e *Elector) read(ctx context.Context) (owner Owner, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, revision, err := e.opts.Store.List(ctx, prefix)
	if err != nil {
		return owner, 0, err
	}
	for _, item := range items {
		switch item.Key {
		case recordKey:
			if err = json.Unmarshal(item.Value, &owner); err != nil {
				return owner, 0, fmt.Errorf("decode owner record: %w", err)
			}
			owner.Fence = item.Revision
		case presenceKey:
			owner.Present = true
		}
	}
	return owner, revision, nil
}

// watch waits for a change of the record or of the presence, which are read
// again as a whole afterwards.
func (e *Elector) watch(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	suspected := make(chan struct{})
	go func() {
		defer close(suspected)
		select {
		case <-e.kick:
			cancel()
		case <-ctx.Done():
		}
	}()
	_, _, err := e.opts.Store.Watch(ctx, prefix, revision, watchFor)
	cancel()
	<-suspected
	if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, transactor.ErrCompacted) {
		e.failed("watch owner record", err)
		pauser.Sleep(ctx, retryAfter)
	}
}

// seniority is the time that a daemon of an age lets younger ones go ahead.
//
// Load: rolling restarts. The daemon that was restarted last is the one that
// will be restarted last again, so ownership moves once and not with every
// restart.
func seniority(age time.Duration) time.Duration {
	return min(maxSeniority, time.Duration(math.Log2(1+age.Seconds()/youth.Seconds())*float64(seniorityStep)))
}

// campaign tries to become the owner, and serves the term if it does.
func (e *Elector) campaign(ctx context.Context, last Owner) {
	owner, err := e.claim(ctx, last)
	if err != nil {
		var conflict *transactor.ConflictError
		if !errors.As(err, &conflict) {
			e.failed("claim ownership", err)
			pauser.Sleep(ctx, retryAfter)
		}
		return
	}
	e.term(ctx, owner, last)
}

// claim writes the record and the presence key.
func (e *Elector) claim(ctx context.Context, last Owner) (owner Owner, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owner = Owner{Instance: e.opts.Instance, Address: e.opts.Address, Generation: last.Generation, Present: true}
	if last.Fence > 0 {
		owner.Generation++
	}
	lease, err := e.opts.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return owner, err
	}
	e.lease.Store(lease)
	value, err := json.Marshal(owner)
	if err != nil {
		return owner, err
	}
	owner.Fence, err = e.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: recordKey, Revision: last.Fence}, {Key: presenceKey}},
		Writes:     []transactor.Write{{Key: recordKey, Value: value}, {Key: presenceKey, Value: []byte(e.opts.Instance), Lease: lease}},
	})
	return owner, err
}

// term serves as the owner until deposed or closed.
func (e *Elector) term(ctx context.Context, owner, former Owner) {
	term, end := context.WithCancel(ctx)
	defer end()
	e.mu.Lock()
	e.depose = end
	e.mu.Unlock()
	e.current.Store(&owner)
	e.opts.Recorder.Record(time.Now(), EventElected, recorder.Fields{
		"fence": strconv.FormatInt(owner.Fence, 10), "generation": strconv.FormatInt(owner.Generation, 10),
	})
	var parts sync.WaitGroup
	parts.Add(2)
	go func() {
		defer parts.Done()
		e.renew(term, owner)
	}()
	go func() {
		defer parts.Done()
		e.observe(term, owner)
	}()
	e.opts.Serve(term, owner, former)
	end()
	parts.Wait()
	e.mu.Lock()
	e.depose = nil
	e.mu.Unlock()
	e.opts.Recorder.Record(time.Now(), EventTermEnded, recorder.Fields{"fence": strconv.FormatInt(owner.Fence, 10)})
}

// renew keeps the presence key alive, and writes it again if it was lost.
func (e *Elector) renew(ctx context.Context, owner Owner) {
	confirmed := bootTime()
	for pauser.Sleep(ctx, renewEvery) {
		asked := bootTime()
		err := e.keep(ctx, owner)
		if err != nil && bootTime()-confirmed > MaxUnconfirmed {
			e.Depose(time.Now(), "record could not be confirmed")
			return
		}
		var conflict *transactor.ConflictError
		switch {
		case ctx.Err() != nil:
		case err == nil:
			confirmed = asked
		case errors.As(err, &conflict) && conflict.Find(recordKey).Revision != owner.Fence:
			e.Depose(time.Now(), "another owner's record")
		default:
			e.failed("renew presence", err)
		}
	}
}

func (e *Elector) keep(ctx context.Context, owner Owner) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err = e.opts.Store.Keep(ctx, e.lease.Load()); !errors.Is(err, transactor.ErrNotFound) {
		return err
	}
	lease, err := e.opts.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return err
	}
	e.lease.Store(lease)
	_, err = e.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: recordKey, Revision: owner.Fence}, {Key: presenceKey}},
		Writes:     []transactor.Write{{Key: presenceKey, Value: []byte(e.opts.Instance), Lease: lease}},
	})
	return err
}

// observe deposes this owner when the record names another.
func (e *Elector) observe(ctx context.Context, owner Owner) {
	for ctx.Err() == nil {
		seen, revision, err := e.read(ctx)
		if err != nil {
			if ctx.Err() == nil {
				e.failed("read own record", err)
			}
			pauser.Sleep(ctx, retryAfter)
			continue
		}
		if seen.Fence != owner.Fence {
			e.Depose(time.Now(), "the record names another owner")
			return
		}
		e.watch(ctx, revision)
	}
}

// Resign gives up ownership so that another daemon takes over at once.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigned = true
	depose := e.depose
	e.mu.Unlock()
	if depose == nil {
		return
	}
	depose()
	if err := e.opts.Store.End(ctx, e.lease.Load()); err != nil {
		e.failed("end presence", err)
	}
}

func (e *Elector) hasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

func (e *Elector) failed(action string, err error) {
	e.opts.Recorder.Record(time.Now(), EventStoreFailed, recorder.Fields{"action": action, "error": err.Error()})
}
