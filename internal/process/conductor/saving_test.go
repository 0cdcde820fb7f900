package conductor

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A limitedStore refuses transactions that hold progress of more than some bytes.
type limitedStore struct {
	emptyStore
	limit   atomic.Int64
	refused atomic.Int64
}

func (s *limitedStore) Commit(ctx context.Context, txn transactor.Transaction) (int64, error) {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, KeysOf(0).progress) && int64(len(write.Value)) > s.limit.Load() {
			s.refused.Add(1)
			return 0, &transactor.RefusedError{Reason: "a value is too large"}
		}
	}
	return s.emptyStore.Commit(ctx, txn)
}

// An endingClient stands for a runner on which each run ends as done at once, but for that of one
// task, which goes on until it is stopped.
type endingClient struct {
	*heldClient
	lasting submitter.TaskID
	acked   atomic.Int64
	seen    int // number of orders that have been carried out
	running []dispatcher.RunStatus
	ended   []dispatcher.End
}

func (c *endingClient) Poll(ctx context.Context, to dispatcher.RunnerInfo, poll Poll) (dispatcher.Report, error) {
	report, err := c.heldClient.Poll(ctx, to, poll)
	c.acked.Store(max(c.acked.Load(), poll.Acked))
	orders := c.orders()
	for _, order := range orders[c.seen:] {
		switch {
		case order.Kind == dispatcher.Start && order.Task == c.lasting:
			c.running = append(c.running, dispatcher.RunStatus{Task: order.Task, Run: order.Run, Percent: 100})
		case order.Kind == dispatcher.Start:
			c.end(order, dispatcher.Done)
		case order.Kind == dispatcher.Stop && order.Task == c.lasting:
			c.running = nil
			c.end(order, dispatcher.Stopped)
		}
	}
	c.seen = len(orders)
	report.Running, report.Ended = c.running, c.ended[min(int(poll.Acked), len(c.ended)):]
	return report, err
}

func (c *endingClient) end(order dispatcher.Order, kind dispatcher.EndKind) {
	c.ended = append(c.ended, dispatcher.End{N: int64(len(c.ended)) + 1, Task: order.Task, Run: order.Run, Kind: kind})
}

// startLimited starts the term of an owner whose store refuses large values.
func startLimited(t *testing.T, limit int64) (c *Conductor, client *endingClient, store *limitedStore) {
	t.Helper()
	client = &endingClient{heldClient: newHeldClient(), lasting: submitter.TaskID{Submission: "wide"}}
	store = &limitedStore{}
	store.limit.Store(limit)
	client.release()
	opts := heldOptions(t, client.heldClient)
	opts.Store, opts.RunnerClient = store, client
	return start(t, client.heldClient, opts, heldRunner), client, store
}

func assertState(t *testing.T, c *Conductor, id string, want submitter.State) {
	t.Helper()
	if state, _ := c.State(id); state != want {
		t.Errorf("submission %s is %s, want %s", id, state, want)
	}
}

// Guards against a record that the store refuses, with which it refused the progress of all
// other submissions for good, so that no end was acknowledged any more.
func TestRefusedRecordCostsItsOwnSubmissionOnly(t *testing.T) {
	t.Parallel()
	const limit = 80
	t.Run("record is too large", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c, client, store := startLimited(t, limit)
			c.apply(func(t *dispatcher.Table, now time.Time) {
				for i := range 20 {
					t.Add(&submitter.Submission{ID: fmt.Sprint("small", i), Queue: "q", Steps: []submitter.Step{{Count: 1}}}, nil, now)
				}
				t.Add(&submitter.Submission{ID: "wide", Queue: "q", Steps: []submitter.Step{{Count: 1000}}}, nil, now)
			})
			time.Sleep(20 * time.Second)
			for i := range 20 {
				assertState(t, c, fmt.Sprint("small", i), submitter.Complete)
			}
			assertState(t, c, "wide", submitter.Failed)
			submit(c, "later", 1)
			time.Sleep(5 * time.Second)
			assertState(t, c, "later", submitter.Complete)
			c.Close()
			if ends := int64(len(client.ended)); client.acked.Load() != ends {
				t.Errorf("ends up to %d are acknowledged, want %d", client.acked.Load(), ends)
			}
			if n := c.opts.Metrics.refused.Value(); n != 1 {
				t.Errorf("%d refused records are counted, want 1", n)
			}
			if n := store.refused.Load(); n > 10 {
				t.Errorf("%d transactions were refused, want at most 10", n)
			}
		})
	})
	t.Run("store refuses everything for some time", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c, _, store := startLimited(t, 0)
			submit(c, "a", 2)
			submit(c, "b", 1)
			time.Sleep(5 * time.Second)
			assertState(t, c, "a", submitter.Running)
			store.limit.Store(limit)
			time.Sleep(5 * time.Second)
			assertState(t, c, "a", submitter.Complete)
			assertState(t, c, "b", submitter.Complete)
			c.Close()
		})
	})
}
