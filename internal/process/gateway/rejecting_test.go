package gateway

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newGateway returns a gateway of a deployment without owners, which ends with the test.
func newGateway(t *testing.T, store transactor.Store, parts int) *Gateway {
	t.Helper()
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }
	g := New(Options{
		Store: store, Elector: elector.New(elector.Options{Parts: parts}), Peers: relayer.NewClient(refuse),
		Recorder: recorder.Discard{}, Split: partitioner.Split{Parts: parts},
		LocalOwner:  func(int) relayer.Owner { return nil },
		IsStoreLost: func() bool { return false },
	})
	t.Cleanup(g.Close)
	return g
}

// A refusingStore refuses all transactions.
type refusingStore struct {
	transactor.Store
	calls int
}

func (s *refusingStore) Commit(context.Context, transactor.Transaction) (int64, error) {
	s.calls++
	return 0, &transactor.RefusedError{Reason: "a value is too large"}
}

// Guards against submissions that are accepted, or sent again and again, although the store never
// takes them or their progress.
func TestSubmissionsThatCannotBeKeptAreRejected(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		limit int
		sub   submitter.Submission
	}{
		"submission":              {1000, submitter.Submission{ID: "a", Spec: strings.Repeat("x", 2000), Steps: []submitter.Step{{Count: 1}}}},
		"progress of the tasks":   {1000, submitter.Submission{ID: "a", Steps: []submitter.Step{{Count: 10_000}}}},
		"store refuses the write": {0, submitter.Submission{ID: "a", Steps: []submitter.Step{{Count: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &refusingStore{Store: memorystore.New()}
			g := newGateway(t, store, 2)
			g.opts.MaxValueBytes = c.limit
			began := time.Now()
			err := g.Submit(t.Context(), c.sub)
			var rejected *RejectedError
			if !errors.As(err, &rejected) || rejected.RetryAfter != 0 {
				t.Errorf("error %v, want a rejection without a time to retry", err)
			}
			if store.calls > 1 || time.Since(began) > storeRetryDelay {
				t.Errorf("%d calls in %s, want one at most", store.calls, time.Since(began))
			}
		})
	}
}
