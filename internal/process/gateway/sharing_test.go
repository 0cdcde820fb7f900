package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// partCapacity is the capacity of a part of which all runners are usable, in milliCores.
	partCapacity = 100_000
	// submitInterval is the time between two submissions to a site.
	submitInterval = 25 * time.Millisecond
	// siteUtilisation is the share of all parts' capacity that the submissions demand.
	siteUtilisation = 0.8
)

// A modelPart is the owner of a part that works off its queue at the speed of its capacity.
type modelPart struct {
	capacity int64
	isSilent bool
	queued   float64 // milliCore-seconds
}

func (p *modelPart) Submit(sub *submitter.Submission) partitioner.Receipt {
	p.queued += float64(partitioner.DemandOf(sub).Filling)
	return partitioner.Receipt{Load: p.Load()}
}

func (p *modelPart) Offer([]partitioner.Need) partitioner.Offer { return partitioner.Offer{} }

func (p *modelPart) Load() partitioner.Load {
	return partitioner.Load{Capacity: p.capacity, Filling: int64(p.queued)}
}

func (p *modelPart) Cancel(string) {}

func (p *modelPart) State(string) (state submitter.State, known bool) { return "", false }

func (p *modelPart) Pending(string) int { return 0 }

// A site has daemons that accept submissions, and parts of equal size.
type site struct {
	t        *testing.T
	gateways []*Gateway
	parts    []*modelPart
	accepted int
}

func newSite(t *testing.T, daemons, parts int) *site {
	t.Helper()
	s := &site{t: t}
	for range parts {
		s.parts = append(s.parts, &modelPart{capacity: partCapacity})
	}
	store := memorystore.New()
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }
	for range daemons {
		s.gateways = append(s.gateways, New(Options{
			Store: store, Elector: elector.New(elector.Options{Parts: parts}), Peers: relayer.NewClient(refuse),
			Recorder: recorder.Discard{}, Split: partitioner.Split{Parts: parts}, LocalOwner: s.owner,
			IsStoreLost: func() bool { return false },
		}))
	}
	return s
}

func (s *site) owner(part int) relayer.Owner {
	if s.parts[part].isSilent {
		return nil
	}
	return s.parts[part]
}

func (s *site) close() {
	for _, g := range s.gateways {
		g.Close()
	}
}

// play hands in submissions for some time, and returns the share of them that each part got.
func (s *site) play(length time.Duration) (shares []float64) {
	s.t.Helper()
	shares = make([]float64, len(s.parts))
	count := int(length / submitInterval)
	for range count {
		shares[s.accept()] += 1 / float64(count)
		time.Sleep(submitInterval)
		for _, p := range s.parts {
			p.queued = max(0, p.queued-float64(p.capacity)*submitInterval.Seconds())
		}
	}
	return shares
}

// accept hands in a submission at one of the daemons, and returns the part that was chosen.
func (s *site) accept() (part int) {
	s.t.Helper()
	demand := siteUtilisation * float64(partCapacity*len(s.parts)) * submitInterval.Seconds()
	sub := submitter.Submission{ID: fmt.Sprintf("%016x", s.accepted), Queue: "q", Steps: []submitter.Step{
		{Count: 1, Resources: submitter.Resources{MilliCores: int64(demand)}, Fills: true},
	}}
	g := s.gateways[s.accepted%len(s.gateways)]
	s.accepted++
	if err := g.Accept(s.t.Context(), sub); err != nil {
		s.t.Fatal(err)
	}
	synctest.Wait()
	return g.parts.candidates(sub.ID)[0]
}

func assertShare(t *testing.T, when string, share, least, most float64) {
	t.Helper()
	if share < least || share > most {
		t.Errorf("%s the part gets %.3f of the submissions, want %.2f to %.2f", when, share, least, most)
	}
}

// Load: a part that loses most of its runners, or its owner, for some time. Submissions stay
// in their part, so that those that it can't run wait while others have room, and it has room
// while others have a queue if it gets none later.
func TestSubmissionsFollowTheRoomOfParts(t *testing.T) {
	t.Parallel()
	const daemons, parts = 12, 3
	const trouble, recovery, length = 10 * time.Second, 5 * time.Second, 20 * time.Second
	for name, c := range map[string]struct {
		begin, end func(p *modelPart)
		most       float64 // share of the submissions in the second half of the trouble
	}{
		"few runners": {
			func(p *modelPart) { p.capacity = partCapacity / 10 }, func(p *modelPart) { p.capacity = partCapacity }, 0.1,
		},
		"no runner": {
			func(p *modelPart) { p.capacity = 0 }, func(p *modelPart) { p.capacity = partCapacity }, 0.02,
		},
		"silent owner": {
			func(p *modelPart) { p.isSilent = true }, func(p *modelPart) { p.isSilent = false }, 0.02,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, daemons, parts)
				defer s.close()
				assertShare(t, "before,", s.play(length)[0], 0.28, 0.38)
				c.begin(s.parts[0])
				s.play(trouble / 2)
				assertShare(t, "during the trouble,", s.play(trouble / 2)[0], 0, c.most)
				c.end(s.parts[0])
				s.play(recovery)
				assertShare(t, "afterwards,", s.play(length)[0], 0.28, 0.5)
			})
		})
	}
}
