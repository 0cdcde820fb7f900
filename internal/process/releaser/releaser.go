// Package releaser lets an operator declare daemons dead whose processes have ended, so
// that their partitions can be taken over. It is needed if too few of their guarantors,
// the daemons that extend their leases during a store outage, are left to prove that
// these leases have expired.
package releaser

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/pledger"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// askTimeout bounds the concurrent calls to the other daemons.
const askTimeout = time.Second

// Settings are the dependencies of a Releaser.
type Settings struct {
	Store   storer.Store
	Group   *member.Group
	Pledger *pledger.Pledger
	// Dial returns a client for the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// A Releaser declares incarnations of daemons dead.
type Releaser struct {
	settings Settings
}

// New returns a releaser.
func New(settings Settings) *Releaser { return &Releaser{settings: settings} }

// Release returns the incarnations of the named daemons that would be declared dead,
// with the ID of this plan. Given the ID, it declares them dead. Release returns a
// *errs.RefusedError if one of the incarnations may be alive: if it is registered, if a
// daemon recently received a heartbeat or a reply from it, or if a daemon that may have
// received one doesn't answer.
func (r *Releaser) Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (resp *kumquatv1.ReleaseResponse, err error) {
	defer func() { err = eris.Wrap(err, "releasing partitions") }()
	dead, err := r.plan(ctx, req.GetDaemons())
	if err != nil {
		return nil, err
	}
	if len(dead) == 0 {
		return nil, refusal("the named daemons own no partitions as former members", "check the names; see `kumquat status`")
	}
	if err := r.check(ctx, req.GetDaemons(), dead); err != nil {
		return nil, err
	}
	resp = &kumquatv1.ReleaseResponse{Plan: planID(dead), Incarnations: dead}
	switch req.GetPlan() {
	case "":
		return resp, nil
	case resp.Plan:
	default:
		return nil, refusal("the incarnations to release have changed since the plan was shown", "show the plan again without --confirm")
	}
	for _, each := range dead {
		if err := r.settings.Pledger.DeclareDead(ctx, each.Incarnation.Daemon, each.Incarnation.Number); err != nil {
			return nil, err
		}
	}
	resp.Released = true
	return resp, nil
}

// check returns an error unless this daemon and all others that might hear one of the
// incarnations answer that they don't. To hear an incarnation is to have recently
// received a heartbeat or a reply from it.
func (r *Releaser) check(ctx context.Context, named []string, dead []*kumquatv1.DeadIncarnation) error {
	req := &kumquatv1.HeardRequest{}
	for _, each := range dead {
		req.Incarnations = append(req.Incarnations, each.Incarnation)
	}
	observers, err := r.observers(ctx, named, dead)
	if err != nil {
		return err
	}
	own, err := r.settings.Group.Heard(ctx, req)
	if err != nil {
		return err
	}
	if err := checkUnheard("this daemon", own); err != nil {
		return err
	}
	return r.ask(ctx, observers, req)
}

// observers returns the addresses of the other daemons that might hear one of the
// incarnations, by name. These are the guarantors of the incarnations except the named
// daemons, and the peers that are registered or reachable.
func (r *Releaser) observers(ctx context.Context, named []string, dead []*kumquatv1.DeadIncarnation) (map[string]string, error) {
	observers := make(map[string]string)
	for _, each := range dead {
		guarantors, err := r.settings.Pledger.Guarantors(ctx, each.Incarnation.Daemon, each.Incarnation.Number)
		if err != nil {
			return nil, err
		}
		for _, g := range guarantors {
			if !slices.Contains(named, g.Daemon) {
				observers[g.Daemon] = g.Address
			}
		}
	}
	now := time.Now()
	for _, peer := range r.settings.Group.Peers() {
		if peer.Registered || peer.IsReachable(now) {
			observers[peer.Daemon] = peer.Address
		}
	}
	delete(observers, r.settings.Group.Identity().Daemon)
	return observers, nil
}

// ask calls all observers and returns an error unless each of them answers that it
// heard none of the incarnations.
func (r *Releaser) ask(ctx context.Context, observers map[string]string, req *kumquatv1.HeardRequest) error {
	var (
		mu       sync.Mutex
		refused  error
		silent   []string
		inFlight sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for name, address := range observers {
		inFlight.Go(func() {
			resp, err := r.settings.Dial(address).Heard(ctx, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, name)
			} else if err := checkUnheard(name, resp); err != nil {
				refused = err
			}
		})
	}
	inFlight.Wait()
	if refused != nil || len(silent) == 0 {
		return refused
	}
	slices.Sort(silent)
	return refusal(strings.Join(silent, ", ")+" may still hear the named daemons and did not answer",
		"wait until these daemons answer; if their processes have ended as well, name them too")
}

// checkUnheard returns a refusal if a daemon responds that it heard one of the
// incarnations.
func checkUnheard(name string, resp *kumquatv1.HeardResponse) error {
	if len(resp.GetHeard()) == 0 {
		return nil
	}
	return refusal(resp.Heard[0].GetDaemon()+" is alive: "+name+" heard it", "end its process, or leave it out")
}

// refusal returns the refusal of a release.
func refusal(why, remedy string) error {
	return &errs.RefusedError{What: "the release", Why: why, Remedy: remedy}
}
