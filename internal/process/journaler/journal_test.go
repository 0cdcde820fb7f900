package journaler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

const partition = owner.Partition("shard:atl-a")

// removed returns a record that carries an ID.
func removed(id string) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedTask{RemovedTask: id}}
}

// openAs opens the journal under an epoch and returns the IDs of the replayed records.
func openAs(t *testing.T, store storer.Store, epoch owner.Epoch) (*Journal, []string) {
	t.Helper()
	var replayed []string
	j, err := Open(t.Context(), Options{Store: store, Partition: partition, Epoch: epoch}, func(r *kumquatv1.Record) {
		replayed = append(replayed, r.GetRemovedTask())
	})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, replayed
}

func mustAppend(t *testing.T, j *Journal, ids ...string) {
	t.Helper()
	if err := j.Append(t.Context(), recordsOf(ids...)...); err != nil {
		t.Fatalf("append %v: %v", ids, err)
	}
}

func recordsOf(ids ...string) []*kumquatv1.Record {
	var records []*kumquatv1.Record
	for _, id := range ids {
		records = append(records, removed(id))
	}
	return records
}

func assertReplays(t *testing.T, store storer.Store, epoch owner.Epoch, want ...string) *Journal {
	t.Helper()
	j, got := openAs(t, store, epoch)
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("replayed %v, want %v", got, want)
	}
	return j
}

func assertFenced(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, errs.ErrFenced) {
		t.Fatalf("error %v, want fenced", err)
	}
}

func TestReplay(t *testing.T) {
	store := keyvalue.NewFake()
	j, _ := openAs(t, store, 1)
	mustAppend(t, j, "a", "b")
	mustAppend(t, j, "c")

	t.Run("a new owner sees all records in order", func(t *testing.T) {
		assertReplays(t, store, 2, "a", "b", "c")
	})
	t.Run("the old owner is fenced", func(t *testing.T) {
		assertFenced(t, j.Append(t.Context(), removed("d")))
	})
	t.Run("an earlier epoch can't open", func(t *testing.T) {
		_, err := Open(t.Context(), Options{Store: store, Partition: partition, Epoch: 1}, nil)
		assertFenced(t, err)
	})
}

// TestGroupCommit checks that concurrent appends share entries rather than cost one
// write each.
func TestGroupCommit(t *testing.T) {
	store := keyvalue.NewFake()
	store.SetFaults(keyvalue.Faults{DelayMillis: 2})
	j, _ := openAs(t, store, 1)
	before := store.Counts().Writes
	var group sync.WaitGroup
	for i := range 500 {
		group.Go(func() { mustAppend(t, j, fmt.Sprint(i)) })
	}
	group.Wait()
	if writes := store.Counts().Writes - before; writes > 100 {
		t.Errorf("%d store writes for 500 concurrent appends, want at most 100", writes)
	}
}

func TestLostAnswers(t *testing.T) {
	faults := map[string]keyvalue.Faults{
		"response lost":    {LoseAnswers: 1},
		"request lost":     {LoseRequests: 1},
		"several in a row": {LoseAnswers: 2, LoseRequests: 2},
		"33% of responses": {LoseAnswersPercent: 33},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			store := keyvalue.NewFake()
			j, _ := openAs(t, store, 1)
			store.SetFaults(fault)
			mustAppend(t, j, "a")
			mustAppend(t, j, "b")
			mustAppend(t, j, "c")
			assertReplays(t, store, 2, "a", "b", "c")
		})
	}
}

// TestUnknownThenOutage loses the response to a write and lets an outage of the store
// follow, so that the writer can't read the entry back before the append's context ends.
// Later appends must come after the entry.
func TestUnknownThenOutage(t *testing.T) {
	store := keyvalue.NewFake()
	j, _ := openAs(t, store, 1)
	store.SetFaults(keyvalue.Faults{LoseAnswers: 1, DelayMillis: 30})
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		result <- j.Append(ctx, removed("a"))
	}()
	for store.Counts().AnswersLost == 0 {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(keyvalue.Faults{Outage: true})
	t.Run("the outcome is unknown", func(t *testing.T) {
		if err := <-result; !isUnknown(err) {
			t.Fatalf("error %v, want unknown", err)
		}
	})
	store.SetFaults(keyvalue.Faults{})
	t.Run("later appends come after the entry", func(t *testing.T) {
		mustAppend(t, j, "b")
		assertReplays(t, store, 2, "a", "b")
	})
}

// TestOutage appends while the store refuses all requests. The append must fail
// without effect rather than be written once the store is back.
func TestOutage(t *testing.T) {
	store := keyvalue.NewFake()
	j, _ := openAs(t, store, 1)
	store.SetFaults(keyvalue.Faults{Outage: true})
	err := j.Append(t.Context(), removed("a"))
	var unavailable *errs.StoreUnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("error %v, want unavailable", err)
	}
	store.SetFaults(keyvalue.Faults{})
	mustAppend(t, j, "b")
	assertReplays(t, store, 2, "b")
}

func TestSnapshot(t *testing.T) {
	store := keyvalue.NewFake()
	j, _ := openAs(t, store, 1)
	mustAppend(t, j, "a")
	mustAppend(t, j, "b")
	position := j.Position()
	mustAppend(t, j, "c")
	if err := j.Snapshot(t.Context(), position, recordsOf("ab")); err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	t.Run("replaces the entries it covers", func(t *testing.T) {
		assertReplays(t, store, 2, "ab", "c")
	})
	t.Run("keeps only entries that begin an epoch", func(t *testing.T) {
		j := assertReplays(t, store, 3, "ab", "c")
		if err := j.Snapshot(t.Context(), j.Position(), recordsOf("abc")); err != nil {
			t.Fatalf("snapshot: %v", err)
		}
		assertKeys(t, store, entryPrefix(partition), 3)
		assertKeys(t, store, partsRoot(partition), 1)
	})
	t.Run("has several parts despite lost responses", func(t *testing.T) {
		j := assertReplays(t, store, 4, "abc")
		store.SetFaults(keyvalue.Faults{LoseAnswersPercent: 30})
		large := []*kumquatv1.Record{removed(strings.Repeat("x", maxPartBytes-100)), removed("y"), removed(strings.Repeat("z", 200))}
		mustAppend(t, j, "d")
		for position := j.Position(); ; {
			if err := j.Snapshot(t.Context(), position, large); err == nil {
				break
			} else if errors.Is(err, errs.ErrFenced) {
				t.Fatalf("snapshot: %v", err)
			}
		}
		store.SetFaults(keyvalue.Faults{})
		_, replayed := openAs(t, store, 5)
		if len(replayed) != 3 {
			t.Fatalf("replayed %d records, want 3", len(replayed))
		}
	})
}

func assertKeys(t *testing.T, store storer.Store, prefix string, want int) {
	t.Helper()
	listing, err := store.List(t.Context(), prefix)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	if len(listing.Entries) != want {
		t.Fatalf("%d keys under %s, want %d", len(listing.Entries), prefix, want)
	}
}

// TestStaleOwnerAfterCompaction resumes earlier owners after later ones have written
// snapshots. Their sequence numbers must stay in use after the deletion of the
// entries, or a stale owner could append to the journal again.
func TestStaleOwnerAfterCompaction(t *testing.T) {
	store := keyvalue.NewFake()
	appender, _ := openAs(t, store, 1)
	mustAppend(t, appender, "a")
	snapshotter, _ := openAs(t, store, 2)
	mustAppend(t, snapshotter, "b")
	position := snapshotter.Position()
	for epoch := owner.Epoch(3); epoch < 6; epoch++ {
		j, _ := openAs(t, store, epoch)
		mustAppend(t, j, fmt.Sprint(epoch))
		if err := j.Snapshot(t.Context(), j.Position(), recordsOf("all")); err != nil {
			t.Fatalf("snapshot: %v", err)
		}
	}
	t.Run("a stale owner's snapshot is refused", func(t *testing.T) {
		assertFenced(t, snapshotter.Snapshot(t.Context(), position, recordsOf("stale")))
	})
	t.Run("a stale owner's append is refused", func(t *testing.T) {
		assertFenced(t, appender.Append(t.Context(), removed("b")))
	})
	t.Run("the journal has the last owner's records", func(t *testing.T) {
		assertReplays(t, store, 9, "all")
	})
}

// TestCorruption damages or deletes an entry. A replay that passed over it would apply
// later records to a wrong state.
func TestCorruption(t *testing.T) {
	damages := map[string]func([]byte) []byte{
		"half-written": func(value []byte) []byte { return value[:len(value)/2] },
		"bit flipped":  func(value []byte) []byte { value[len(value)-1] ^= 1; return value },
		"empty":        func([]byte) []byte { return nil },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			store := keyvalue.NewFake()
			j, _ := openAs(t, store, 1)
			mustAppend(t, j, "a")
			key := entryKey(partition, j.Position())
			entry, err := store.Get(t.Context(), key)
			if err != nil {
				t.Fatal(err)
			}
			value := damage(append([]byte(nil), entry.Value...))
			if _, err := store.CompareAndSwap(t.Context(), storer.Swap{Key: key, Expected: entry.Revision, Value: value}); err != nil {
				t.Fatal(err)
			}
			assertCorrupt(t, store)
		})
	}
	t.Run("missing entry", func(t *testing.T) {
		store := keyvalue.NewFake()
		j, _ := openAs(t, store, 1)
		mustAppend(t, j, "a")
		mustAppend(t, j, "b")
		key := entryKey(partition, j.Position()-1)
		if err := store.DeleteRange(t.Context(), key, key+"0"); err != nil {
			t.Fatal(err)
		}
		assertCorrupt(t, store)
	})
}

func assertCorrupt(t *testing.T, store storer.Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := Open(ctx, Options{Store: store, Partition: partition, Epoch: 2}, func(r *kumquatv1.Record) {
		t.Errorf("replayed %v from a corrupt journal", r)
	})
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Fatalf("error %v, want a corrupt journal", err)
	}
}

// TestCloseWaits closes the journal during an append, which must become durable first.
func TestCloseWaits(t *testing.T) {
	store := keyvalue.NewFake()
	store.SetFaults(keyvalue.Faults{DelayMillis: 20})
	j, _ := openAs(t, store, 1)
	result := make(chan error, 1)
	go func() { result <- j.Append(context.Background(), removed("a")) }()
	for {
		j.mu.Lock()
		busy := len(j.queue) > 0
		j.mu.Unlock()
		if busy || store.Counts().Writes > 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Fatalf("append during close: %v", err)
	}
}
