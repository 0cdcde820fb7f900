package conductor

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A deletingStore counts the keys that are deleted.
type deletingStore struct {
	emptyStore
	deleted atomic.Int64
}

func (s *deletingStore) Commit(ctx context.Context, txn transactor.Transaction) (int64, error) {
	s.deleted.Add(int64(len(txn.Deletes)))
	return s.emptyStore.Commit(ctx, txn)
}

// Guards against a backlog of ended submissions: their records were deleted more slowly than
// submissions arrive, and a new owner has to read all of them.
func TestEndedRecordsAreDeletedAsFastAsTheyCome(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const perSecond, retention = 10, 150 * time.Second
		store := &deletingStore{}
		client := newHeldClient()
		client.release()
		opts := heldOptions(t, client)
		opts.Store = store
		c := start(t, client, opts, heldRunner)
		added := 0
		for began := time.Now(); time.Since(began) < 2*retention; time.Sleep(time.Second) {
			c.apply(func(t *dispatcher.Table, now time.Time) {
				for range perSecond {
					added++
					sub := &submitter.Submission{ID: fmt.Sprint(added), Queue: "q", Steps: []submitter.Step{{Count: 1}}}
					t.Add(sub, &submitter.Progress{State: submitter.Complete}, now)
				}
			})
		}
		const keys, slack = 3, 15
		if left := added - int(store.deleted.Load())/keys; left > perSecond*int(retention.Seconds()+slack) {
			t.Errorf("%d of %d records are left, want those of %s", left, added, retention+slack*time.Second)
		}
		c.Close()
	})
}
