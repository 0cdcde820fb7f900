// Package elector keeps the records of the daemons that own the parts of the
// submissions and runners. The revision of a record is the owner's fencing
// token.
package elector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// Keys of the store. A record lasts; a presence key is held by a lease.
const (
	prefix         = "kumquat/owner/"
	recordSuffix   = "/record"
	presenceSuffix = "/presence"
)

// RecordKey is the key whose revision is the fencing token of a part's owner.
func RecordKey(part int) string { return prefix + strconv.Itoa(part) + recordSuffix }

func presenceKey(part int) string { return prefix + strconv.Itoa(part) + presenceSuffix }

// Times of the election.
const (
	// presenceTTL is the lease of the owner's presence key.
	presenceTTL = 2 * time.Second
	// renewEvery is the pause between renewals of the presence.
	renewEvery = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// watchFor is how long a watch of the records waits: a watch may be cut
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

// An Owner is the content of a part's record.
type Owner struct {
	// Instance tells apart the processes of one daemon.
	Instance string `json:"instance"`
	// Address is where the owner serves its peers.
	Address string `json:"address"`
	// Generation counts the owners of the part.
	Generation int64 `json:"generation"`
	// Part is what is owned.
	Part int `json:"-"`
	// Fence is the record's revision.
	Fence int64 `json:"-"`
	// presence is the revision of the owner's presence key, zero without one.
	presence int64
}

// Options are what an elector is made of.
type Options struct {
	Store    transactor.Store
	Instance string
	Address  string
	// Parts is the number of parts that have an owner each.
	Parts int
	// Delay tells how long this daemon lets others go ahead that are larger, or
	// that own less, in an election of a part while it owns some already.
	Delay    func(part, owned int) time.Duration
	Recorder recorder.Recorder
	// Serve runs the duties of an owner until its context ends. The former owner
	// may go on for MaxUnconfirmed if it can't reach the store.
	Serve func(ctx context.Context, term *Term)
}

// An Elector follows the records and campaigns for parts without an owner.
type Elector struct {
	opts      Options
	startedAt time.Time
	kick      chan struct{}
	done      sync.WaitGroup
	stop      context.CancelFunc

	// contest is held by the one campaign that may claim a part.
	contest sync.Mutex

	mu       sync.Mutex
	seats    []seat
	resigned bool
}

// A seat is what is known of one part's owner.
type seat struct {
	owner       Owner
	campaigning bool
	term        *Term // of this daemon, or nil
}

// New returns an elector that is not running yet.
func New(opts Options) *Elector {
	e := &Elector{opts: opts, kick: make(chan struct{}, 1), startedAt: time.Now(), seats: make([]seat, opts.Parts)}
	for part := range e.seats {
		e.seats[part].owner.Part = part
	}
	return e
}

// Run starts the elector.
func (e *Elector) Run(ctx context.Context) {
	ctx, e.stop = context.WithCancel(ctx)
	e.done.Go(func() { e.follow(ctx) })
}

// Close stops the elector and waits for the duties of an owner to end.
func (e *Elector) Close() {
	e.stop()
	e.done.Wait()
}

// Current returns a part's owner as it is known now.
func (e *Elector) Current(part int) Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seats[part].owner
}

// Suspect asks for a look at the records, as an owner does not answer.
func (e *Elector) Suspect() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Resign gives up all parts so that other daemons take over at once.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigned = true
	var terms []*Term
	for i := range e.seats {
		if term := e.seats[i].term; term != nil {
			terms = append(terms, term)
		}
	}
	e.mu.Unlock()
	for _, term := range terms {
		term.end()
	}
	for _, term := range terms {
		if err := e.opts.Store.End(ctx, term.lease.Load()); err != nil {
			e.failed("end presence", err)
		}
	}
}

// follow reads the records after every change until the context ends.
func (e *Elector) follow(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		owners, revision, err := e.read(ctx)
		if err != nil {
			if ctx.Err() == nil {
				e.failed("read owner records", err)
			}
			pauser.Sleep(ctx, retryAfter)
			continue
		}
		for _, part := range e.learn(owners, asked) {
			e.done.Go(func() { e.campaign(ctx, part) })
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
			continue // not a key of this package
		}
		switch {
		case strings.HasSuffix(item.Key, recordSuffix):
			if err = json.Unmarshal(item.Value, &owners[part]); err != nil {
				return nil, 0, fmt.Errorf("decode owner record of part %d: %w", part, err)
			}
			owners[part].Fence = item.Revision
		case strings.HasSuffix(item.Key, presenceSuffix):
			owners[part].presence = item.Revision
		}
	}
	return owners, revision, nil
}

// learn takes in the owners that were asked for at a time, and returns the parts
// to campaign for.
func (e *Elector) learn(owners []Owner, asked time.Time) (vacant []int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for part := range e.seats {
		s := &e.seats[part]
		if owners[part].Fence < s.owner.Fence {
			continue // claimed since the records were read
		}
		s.owner = owners[part]
		switch {
		case s.term != nil && s.owner.Fence != s.term.Owner.Fence:
			s.term.Depose(time.Now(), "the record names another owner")
		case s.term != nil:
			s.term.confirm(asked)
		case e.isVacant(s.owner) && !s.campaigning && !e.resigned:
			s.campaigning = true
			vacant = append(vacant, part)
		}
	}
	return vacant
}

// isVacant reports whether this daemon may claim a part.
//
// Load: all daemons lose power, or are killed, and come back before the presence
// of the owners has run out. A former process of this daemon has ended.
func (e *Elector) isVacant(owner Owner) bool {
	return owner.presence == 0 || (owner.Address == e.opts.Address && owner.Instance != e.opts.Instance)
}

// watch waits for a change of the records or presences, which are read again as
// a whole afterwards.
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
		e.failed("watch owner records", err)
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

// campaign tries to become the owner of a part, and serves the term if it does.
func (e *Elector) campaign(ctx context.Context, part int) {
	term, err := e.win(ctx, part)
	if err != nil {
		var conflict *transactor.ConflictError
		if !errors.As(err, &conflict) && ctx.Err() == nil {
			e.failed("claim ownership", err)
			pauser.Sleep(ctx, retryAfter)
		}
	}
	if term != nil {
		term.serve()
	}
	e.mu.Lock()
	e.seats[part].campaigning = false
	e.seats[part].term = nil
	e.mu.Unlock()
	e.Suspect()
}

// win waits until it is this daemon's turn and claims a part. It returns nil if
// another daemon was faster.
func (e *Elector) win(ctx context.Context, part int) (term *Term, err error) {
	younger := seniority(time.Since(e.startedAt))
	for waited := time.Duration(0); ; {
		term, left, err := e.attempt(ctx, part, waited-younger)
		if left <= 0 {
			return term, err
		}
		if !pauser.Sleep(ctx, left) {
			return nil, ctx.Err()
		}
		waited += left
	}
}

// attempt claims a part that is still vacant, or returns for how long other
// daemons go ahead after a time that was waited.
//
// Load: the end of a daemon that owned several parts, or of all daemons. Each
// part that this daemon wins meanwhile makes it wait longer for the next, so
// that the parts go to as many daemons as there are of the size.
func (e *Elector) attempt(ctx context.Context, part int, waited time.Duration) (term *Term, left time.Duration, err error) {
	e.contest.Lock()
	defer e.contest.Unlock()
	if wait := e.opts.Delay(part, e.owned()); waited < wait {
		return nil, wait - waited, nil
	}
	last := e.Current(part)
	if !e.isVacant(last) || e.hasResigned() {
		return nil, 0, nil
	}
	term, err = e.claim(ctx, last)
	return term, 0, err
}

// owned returns the number of parts that this daemon owns.
func (e *Elector) owned() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.seats {
		if e.seats[i].term != nil {
			n++
		}
	}
	return n
}

// claim writes the record and the presence key.
func (e *Elector) claim(ctx context.Context, last Owner) (term *Term, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked, askedAt := bootTime(), time.Now()
	owner := Owner{Instance: e.opts.Instance, Address: e.opts.Address, Generation: last.Generation, Part: last.Part}
	if last.Fence > 0 {
		owner.Generation++
	}
	lease, err := e.opts.Store.Grant(callCtx, presenceTTL)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(owner)
	if err != nil {
		return nil, err
	}
	record, presence := RecordKey(owner.Part), presenceKey(owner.Part)
	owner.Fence, err = e.opts.Store.Commit(callCtx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: record, Revision: last.Fence}, {Key: presence, Revision: last.presence}},
		Writes:     []transactor.Write{{Key: record, Value: value}, {Key: presence, Value: []byte(e.opts.Instance), Lease: lease}},
	})
	if err != nil {
		return nil, err
	}
	owner.presence = owner.Fence // written together
	term = newTerm(ctx, e, owner, last, lease)
	term.confirmedBoot = asked
	term.confirm(askedAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.seats[owner.Part]
	s.owner, s.term = owner, term
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

func (e *Elector) failed(action string, err error) {
	e.opts.Recorder.Record(time.Now(), EventStoreFailed, recorder.Fields{"action": action, "error": err.Error()})
}
