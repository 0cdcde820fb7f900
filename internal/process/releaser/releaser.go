// Package releaser lets the partitions of daemons that have certainly ended be
// taken over, on an operator's word, when too few of their guarantors are left
// to prove it.
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

// askTimeout bounds one question to a daemon.
const askTimeout = time.Second

// Settings are what a Releaser needs.
type Settings struct {
	Store   storer.Store
	Group   *member.Group
	Pledger *pledger.Pledger
	// Dial returns the client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// A Releaser records that incarnations are dead.
type Releaser struct {
	settings Settings
}

// New returns a releaser.
func New(settings Settings) *Releaser { return &Releaser{settings: settings} }

// Release shows which incarnations of the named daemons would be declared dead
// or, given the id of what was shown, declares them dead. It is refused while
// one of them is registered or heard, and unless every other daemon that might
// hear it answers.
func (r *Releaser) Release(ctx context.Context, req *kumquatv1.ReleaseRequest) (resp *kumquatv1.ReleaseResponse, err error) {
	defer func() { err = eris.Wrap(err, "releasing partitions") }()
	dead, err := r.plan(ctx, req.GetDaemons())
	if err != nil {
		return nil, err
	}
	if len(dead) == 0 {
		return nil, refusal("they own no partitions as former members", "check the names; see `kumquat status`")
	}
	if err := r.check(ctx, req.GetDaemons(), dead); err != nil {
		return nil, err
	}
	resp = &kumquatv1.ReleaseResponse{Plan: idOf(dead), Incarnations: dead}
	switch req.GetPlan() {
	case "":
		return resp, nil
	case resp.Plan:
	default:
		return nil, refusal("it has changed what would be released", "look at it again without --confirm")
	}
	for _, each := range dead {
		if err := r.settings.Pledger.DeclareDead(ctx, each.Incarnation.Daemon, each.Incarnation.Number); err != nil {
			return nil, err
		}
	}
	resp.Released = true
	return resp, nil
}

// check asks all daemons that might hear one of the incarnations.
func (r *Releaser) check(ctx context.Context, named []string, dead []*kumquatv1.DeadIncarnation) error {
	req := &kumquatv1.HeardRequest{}
	for _, each := range dead {
		req.Incarnations = append(req.Incarnations, each.Incarnation)
	}
	witnesses, err := r.witnesses(ctx, named, dead)
	if err != nil {
		return err
	}
	own, err := r.settings.Group.Heard(ctx, req)
	if err != nil {
		return err
	}
	if err := heardBy("this daemon", own); err != nil {
		return err
	}
	return r.ask(ctx, witnesses, req)
}

// witnesses returns the addresses of the other daemons that might hear one of
// the incarnations, by name: members, and guarantors that aren't named.
func (r *Releaser) witnesses(ctx context.Context, named []string, dead []*kumquatv1.DeadIncarnation) (map[string]string, error) {
	witnesses := make(map[string]string)
	for _, each := range dead {
		guarantors, err := r.settings.Pledger.Guarantors(ctx, each.Incarnation.Daemon, each.Incarnation.Number)
		if err != nil {
			return nil, err
		}
		for _, g := range guarantors {
			if !slices.Contains(named, g.Daemon) {
				witnesses[g.Daemon] = g.Address
			}
		}
	}
	now := time.Now()
	for _, peer := range r.settings.Group.Peers() {
		if peer.Registered || peer.IsReachable(now) {
			witnesses[peer.Daemon] = peer.Address
		}
	}
	delete(witnesses, r.settings.Group.Identity().Daemon)
	return witnesses, nil
}

// ask returns an error unless all witnesses answer that they hear nothing.
func (r *Releaser) ask(ctx context.Context, witnesses map[string]string, req *kumquatv1.HeardRequest) error {
	var (
		mu       sync.Mutex
		refused  error
		silent   []string
		inFlight sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for name, address := range witnesses {
		inFlight.Go(func() {
			resp, err := r.settings.Dial(address).Heard(ctx, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, name)
			} else if err := heardBy(name, resp); err != nil {
				refused = err
			}
		})
	}
	inFlight.Wait()
	if refused != nil || len(silent) == 0 {
		return refused
	}
	slices.Sort(silent)
	return refusal(strings.Join(silent, ", ")+" may still hear them and can't be asked",
		"wait until these daemons answer; if their processes have ended as well, name them too")
}

// heardBy returns an error if a daemon heard one of the incarnations.
func heardBy(name string, resp *kumquatv1.HeardResponse) error {
	if len(resp.GetHeard()) == 0 {
		return nil
	}
	return refusal(resp.Heard[0].GetDaemon()+" is alive: "+name+" heard it", "end its process, or leave it out")
}

func refusal(why, remedy string) error {
	return &errs.RefusedError{What: "the release", Why: why, Remedy: remedy}
}
