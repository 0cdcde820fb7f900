// Package elector elects an owner among the daemons for each part (partition) of
// the submissions and runners. The store has a key for the owner record of each part,
// and the revision of that key is the owner's fencing token.
package elector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// Keys of the store. An owner record is permanent; a presence key exists while the
// owner renews the lease of that key. The settled key holds the fencing token of the
// last owner that knew that no owner before it could move the end of a lease.
const (
	prefix         = "kumquat/owner/"
	recordSuffix   = "/record"
	presenceSuffix = "/presence"
	settledSuffix  = "/settled"
)

// RecordKey returns the key of a part's owner record, whose revision is the owner's
// fencing token.
func RecordKey(part int) string { return prefix + strconv.Itoa(part) + recordSuffix }

func presenceKey(part int) string { return prefix + strconv.Itoa(part) + presenceSuffix }

// presenceMark returns the value of a presence key. The lease tells the writes of one process
// apart.
func presenceMark(instance string, lease int64) []byte {
	return fmt.Appendf(nil, "%s %d", instance, lease)
}

func settledKey(part int) string { return prefix + strconv.Itoa(part) + settledSuffix }

// Times of the election.
const (
	// presenceTTL is the duration of the lease of the owner's presence key.
	presenceTTL = 2 * time.Second
	// renewInterval is the pause between renewals of the presence lease.
	renewInterval = 500 * time.Millisecond
	// callTimeout is the timeout of one call to the store.
	callTimeout = 1200 * time.Millisecond
	// watchWait is how long a watch of the records waits for a change. It is short
	// because the connection of a watch may be lost without an error.
	watchWait = 1500 * time.Millisecond
	// watchTimeout is the timeout of a watch, including the answer after its wait.
	watchTimeout = watchWait + 700*time.Millisecond
	// MaxUnconfirmed is how long an owner continues while it can't confirm that the
	// owner record in the store still names it. A successor that can't find out whether
	// the former owner has stopped relies on this limit.
	MaxUnconfirmed = 10 * time.Second
	// ageScale, ageDelayStep and maxAgeDelay define how long a daemon waits before it
	// claims a part, so that daemons started later claim first. The delay grows with
	// the age, which is the time since this daemon's start: by about ageDelayStep for
	// each doubling of the age beyond ageScale, up to maxAgeDelay.
	ageScale     = 2 * time.Second
	ageDelayStep = 12 * time.Millisecond
	maxAgeDelay  = 60 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
)

// An Owner is the record of a part's owner.
type Owner struct {
	// Instance distinguishes successive processes of one daemon.
	Instance string `json:"instance"`
	// Address is the address at which the owner serves other daemons.
	Address string `json:"address"`
	// Generation is the number of owners that the part had before.
	Generation int64 `json:"generation"`
	// Part is the part that is owned.
	Part int `json:"-"`
	// Fence is the fencing token: the revision of the record.
	Fence int64 `json:"-"`
	// presence is the revision of the owner's presence key; zero if there is none.
	presence int64
	// settled is the fencing token that the settled key holds; zero if there is none.
	settled int64
	// seenAt is a time at which the record existed, the first that this daemon knows.
	seenAt time.Time
}

// isSettled reports whether every owner before this one is known to have ended.
func (o Owner) isSettled() bool { return o.Generation == 0 || o.settled == o.Fence }

// earlierEnd returns the latest time at which an owner before this one may still act,
// or zero if all are known to have ended. None of them can have confirmed its record
// after this one was written.
func (o Owner) earlierEnd() time.Time {
	if o.isSettled() {
		return time.Time{}
	}
	return o.seenAt.Add(MaxUnconfirmed)
}

// Options configure an Elector.
type Options struct {
	Store    transactor.Store
	Instance string
	Address  string
	// Parts is the number of parts; each has its own owner.
	Parts int
	// CampaignDelay returns how long this daemon waits in the election for a part,
	// given the number of parts that it owns, so that daemons that are larger or own
	// fewer parts go first.
	CampaignDelay func(part, owned int) time.Duration
	Recorder      recorder.Recorder
	// Serve runs the duties of an owner until ctx ends. Meanwhile a former owner that
	// can't reach the store may continue for up to MaxUnconfirmed.
	Serve func(ctx context.Context, term *Term)
}

// An Elector watches the owner records and campaigns for parts without an owner.
type Elector struct {
	opts      Options
	startedAt time.Time
	recheck   chan struct{}
	done      sync.WaitGroup
	stop      context.CancelFunc

	// claimMu serialises this daemon's claims, so that the delay of each campaign
	// takes account of the parts that its other campaigns have won.
	claimMu sync.Mutex

	mu       sync.Mutex
	parts    []partState
	resigned bool
}

// A partState is this daemon's view of one part.
type partState struct {
	owner       Owner
	campaigning bool
	term        *Term // this daemon's term as the owner, or nil
	// served is the fencing token of this process's last term, or zero.
	served atomic.Int64
}

// New returns an elector; Run starts it.
func New(opts Options) *Elector {
	e := &Elector{opts: opts, recheck: make(chan struct{}, 1), startedAt: time.Now(), parts: make([]partState, opts.Parts)}
	for part := range e.parts {
		e.parts[part].owner.Part = part
	}
	return e
}

// Run starts the elector in the background.
func (e *Elector) Run(ctx context.Context) {
	ctx, e.stop = context.WithCancel(ctx)
	e.done.Go(func() { e.follow(ctx) })
}

// Close stops the elector and waits until this daemon's terms have ended.
func (e *Elector) Close() {
	e.stop()
	e.done.Wait()
}

// Current returns a part's owner as of the last read of the records.
func (e *Elector) Current(part int) Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts[part].owner
}

// Recheck makes the elector read the records again at once, for instance because an
// owner does not answer.
func (e *Elector) Recheck() {
	select {
	case e.recheck <- struct{}{}:
	default:
	}
}

// Resign gives up all parts so that other daemons take over at once, and makes this
// daemon claim none any more.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigned = true
	var terms []*Term
	for i := range e.parts {
		if term := e.parts[i].term; term != nil {
			terms = append(terms, term)
		}
	}
	e.mu.Unlock()
	for _, term := range terms {
		term.end()
	}
	for _, term := range terms {
		if err := e.opts.Store.Revoke(ctx, term.lease.Load()); err != nil {
			e.recordFailure("revoke the lease of the presence key", err)
		}
	}
}

// follow reads the records after every change, and starts campaigns for vacant
// parts, until the context ends.
func (e *Elector) follow(ctx context.Context) {
	for ctx.Err() == nil {
		readAt := time.Now()
		owners, revision, err := e.read(ctx)
		if err != nil {
			if ctx.Err() == nil {
				e.recordFailure("read owner records", err)
			}
			pauser.Sleep(ctx, retryDelay)
			continue
		}
		for _, vacancy := range e.update(owners, readAt, time.Now()) {
			e.done.Go(func() { e.campaign(ctx, vacancy) })
		}
		e.watch(ctx, revision)
	}
}

// read returns the owners of all parts and the revision to watch from.
func (e *Elector) read(ctx context.Context) (owners []Owner, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, revision, err := e.opts.Store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	owners = make([]Owner, e.opts.Parts)
	for part := range owners {
		owners[part].Part = part
	}
	for _, item := range items {
		number, _, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
		part, err := strconv.Atoi(number)
		if err != nil || part < 0 || part >= len(owners) {
			continue // not a key of the election
		}
		switch {
		case strings.HasSuffix(item.Key, recordSuffix):
			if err = json.Unmarshal(item.Value, &owners[part]); err != nil {
				return nil, 0, fmt.Errorf("decode owner record of part %d: %w", part, err)
			}
			owners[part].Fence = item.Revision
		case strings.HasSuffix(item.Key, presenceSuffix):
			owners[part].presence = item.Revision
		case strings.HasSuffix(item.Key, settledSuffix):
			// A malformed token is that of no owner.
			owners[part].settled, _ = strconv.ParseInt(string(item.Value), 10, 64)
		}
	}
	return owners, revision, nil
}

// update applies the records, whose read began at readAt and ended at now, and returns
// the records of the parts to campaign for.
func (e *Elector) update(owners []Owner, readAt, now time.Time) (vacancies []Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for part := range e.parts {
		s := &e.parts[part]
		if owners[part].Fence < s.owner.Fence {
			continue // claimed since the records were read
		}
		seenAt := now
		if owners[part].Fence == s.owner.Fence {
			seenAt = s.owner.seenAt
		}
		s.owner = owners[part]
		s.owner.seenAt = seenAt
		switch {
		case s.term != nil && s.owner.Fence != s.term.Owner.Fence:
			s.term.Depose(now, "the owner record names another owner")
		case s.term != nil:
			s.term.confirm(readAt)
		case e.isVacant(s.owner) && !s.campaigning && !e.resigned:
			s.campaigning = true
			vacancies = append(vacancies, s.owner)
		}
	}
	return vacancies
}

// isVacant reports whether this daemon may claim a part: no owner is present, the owner is a
// former process of this daemon, which has ended, or this process has claimed the part
// without an answer, and so has not served it.
//
// Load: all daemons lose power, or are killed, and restart before the presence
// leases of the owners have expired. They reclaim their parts without that wait.
func (e *Elector) isVacant(owner Owner) bool {
	isServed := owner.Instance == e.opts.Instance && owner.Fence == e.parts[owner.Part].served.Load()
	return owner.presence == 0 || (owner.Address == e.opts.Address && !isServed)
}

// watch waits for a change of any record or presence key, or for Recheck. The caller
// then reads all keys again.
func (e *Elector) watch(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	rechecked := make(chan struct{})
	go func() {
		defer close(rechecked)
		select {
		case <-e.recheck:
			cancel()
		case <-ctx.Done():
		}
	}()
	_, _, err := e.opts.Store.Watch(ctx, prefix, revision, watchWait)
	cancel()
	<-rechecked
	if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, transactor.ErrCompacted) {
		e.recordFailure("watch owner records", err)
		pauser.Sleep(ctx, retryDelay)
	}
}

// ageDelay returns how long a daemon of the given age waits in an election so that
// daemons started later go first.
//
// Load: rolling restarts that always have the same order. The daemon that was started
// last is also the last to be restarted, so ownership moves to that daemon and stays
// there until then, instead of moving with every restart.
func ageDelay(age time.Duration) time.Duration {
	return min(maxAgeDelay, time.Duration(math.Log2(1+age.Seconds()/ageScale.Seconds())*float64(ageDelayStep)))
}

// campaign tries to become the owner of a vacant part, and serves the term if it
// succeeds. vacancy is the part's record when it was found vacant.
func (e *Elector) campaign(ctx context.Context, vacancy Owner) {
	term, err := e.claimInTurn(ctx, vacancy)
	if err != nil {
		var conflict *transactor.ConflictError
		if !errors.As(err, &conflict) && ctx.Err() == nil {
			e.recordFailure("claim ownership", err)
			pauser.Sleep(ctx, retryDelay)
		}
	}
	if term != nil {
		term.serve()
	}
	e.mu.Lock()
	e.parts[vacancy.Part].campaigning = false
	e.parts[vacancy.Part].term = nil
	e.mu.Unlock()
	e.Recheck()
}

// claimInTurn waits for this daemon's turn in the election and claims a part. It
// returns no term if another daemon has claimed the part since it was found vacant, even
// if it is vacant again: the delay starts anew then.
func (e *Elector) claimInTurn(ctx context.Context, vacancy Owner) (term *Term, err error) {
	delay := ageDelay(time.Since(e.startedAt))
	for waited := time.Duration(0); ; {
		term, remaining, err := e.tryClaim(ctx, vacancy, waited-delay)
		if remaining <= 0 {
			return term, err
		}
		if !pauser.Sleep(ctx, remaining) {
			return nil, ctx.Err()
		}
		waited += remaining
	}
}

// tryClaim claims a part if it is still vacant, its record still has the fencing token of
// vacancy, and the campaign delay has passed; otherwise it returns the part of the delay
// that remains. waited is how long the campaign has lasted, less the daemon's age delay.
//
// Load: the end of a daemon that owned several parts, or of all daemons. Each part
// that this daemon wins lengthens its delay for the next, so that the parts spread
// over all daemons of similar size.
func (e *Elector) tryClaim(ctx context.Context, vacancy Owner, waited time.Duration) (term *Term, remaining time.Duration, err error) {
	e.claimMu.Lock()
	defer e.claimMu.Unlock()
	if wait := e.opts.CampaignDelay(vacancy.Part, e.ownedCount()); waited < wait {
		return nil, wait - waited, nil
	}
	last := e.Current(vacancy.Part)
	if last.Fence != vacancy.Fence || !e.isVacant(last) || e.hasResigned() {
		return nil, 0, nil
	}
	term, err = e.claim(ctx, last)
	return term, 0, err
}

// claim replaces last, the current owner record: it writes a new owner record and the
// presence key in one transaction, on the condition that neither key has changed since
// last was read. It returns the new term.
func (e *Elector) claim(ctx context.Context, last Owner) (term *Term, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startBoot, claimedAt := clocker.SinceBoot(), time.Now()
	owner := Owner{Instance: e.opts.Instance, Address: e.opts.Address, Generation: last.Generation, Part: last.Part}
	if last.Fence > 0 {
		owner.Generation++
	}
	lease, err := resend(callCtx, func(ctx context.Context) (int64, error) { return e.opts.Store.Grant(ctx, presenceTTL) })
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(owner)
	if err != nil {
		return nil, err
	}
	record, presence := RecordKey(owner.Part), presenceKey(owner.Part)
	mark := presenceMark(e.opts.Instance, lease)
	claim := transactor.Transaction{
		Conditions: []transactor.Condition{{Key: record, Revision: last.Fence}, {Key: presence, Revision: last.presence}},
		Writes:     []transactor.Write{{Key: record, Value: value}, {Key: presence, Value: mark, Lease: lease}},
	}
	owner.Fence, err = resend(callCtx, func(ctx context.Context) (int64, error) {
		fence, err := e.opts.Store.Commit(ctx, claim)
		var conflict *transactor.ConflictError
		if errors.As(err, &conflict) && bytes.Equal(conflict.Find(presence).Value, mark) {
			return conflict.Find(presence).Revision, nil // an earlier call was carried out
		}
		return fence, err
	})
	if err != nil {
		return nil, err
	}
	owner.presence = owner.Fence // both keys have the revision of their transaction
	owner.seenAt = time.Now()
	term = newTerm(ctx, e, owner, last, lease)
	term.checked.Store(&confirmation{at: claimedAt, boot: startBoot})
	term.confirm(claimedAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.parts[owner.Part]
	s.owner, s.term = owner, term
	s.served.Store(owner.Fence)
	if e.resigned {
		term.end()
	}
	return term, nil
}

func (e *Elector) hasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

// recordFailure records an event about a failed call to the store.
func (e *Elector) recordFailure(action string, err error) {
	e.opts.Recorder.Record(time.Now(), EventStoreFailed, recorder.Fields{"action": action, "error": err.Error()})
}
