package scheduler

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

func TestRunnerCountBecomesStable(t *testing.T) {
	t.Parallel()
	const span = 400 * time.Millisecond
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &runnerCount{}
	assertStable := func(name string, want bool) {
		t.Helper()
		if got := c.isStable(span); got != want {
			t.Errorf("%s: stable %t, want %t", name, got, want)
		}
	}
	observe := func(runners int, after time.Duration) { c.observe(runners, start.Add(after)) }
	assertStable("before any read", false)
	observe(0, 0)
	observe(0, time.Hour)
	assertStable("without runners", false)
	observe(20, 2*time.Hour)
	assertStable("after one read, however old it is", false)
	observe(20, 2*time.Hour+300*time.Millisecond)
	assertStable("after 300 ms", false)
	observe(48, 2*time.Hour+500*time.Millisecond)
	assertStable("after a change", false)
	observe(48, 2*time.Hour+900*time.Millisecond)
	assertStable("after 400 ms", true)
}

// callTime is the longest time that a call to the store takes in tests of the agreement.
const callTime = 10 * time.Millisecond

// putSplit writes a split, as another daemon does.
func putSplit(t *testing.T, store *memorystore.Store) {
	t.Helper()
	value, err := partitioner.Split{Parts: 3}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, transactor.Write{Key: splitKey, Value: value})
}

func put(t *testing.T, store *memorystore.Store, write transactor.Write) {
	t.Helper()
	if _, err := store.Commit(t.Context(), transactor.Transaction{Writes: []transactor.Write{write}}); err != nil {
		t.Fatal(err)
	}
}

// putCountingKey makes daemons leave the count to another one, and returns its lease.
func putCountingKey(t *testing.T, store *memorystore.Store) (lease int64) {
	t.Helper()
	lease, err := store.Grant(t.Context(), countingTTL)
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, transactor.Write{Key: countingKey, Lease: lease})
	return lease
}

// Guards against daemons that learn of the split at their next poll, so that the order
// in which they campaign depends on when each of them polls.
func TestSplitIsKnownWithinOneCall(t *testing.T) {
	t.Parallel()
	for offset := time.Second; offset < 2*time.Second; offset += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := memorystore.New()
			putCountingKey(t, store)
			slow := newSlowStore(store, uint64(offset), callTime)
			start := time.Now()
			var known time.Time
			var agreement sync.WaitGroup
			agreement.Go(func() {
				agree(t, newDaemon(slow, 1, 0.8))
				known = time.Now()
			})
			time.Sleep(offset)
			putSplit(t, store)
			agreement.Wait()
			// The daemon may be between two watches, when it looks for the counting key.
			if delay := known.Sub(start) - offset; delay > 3*callTime {
				t.Errorf("split written after %s was known %s later, want at most %s", offset, delay, 3*callTime)
			}
		})
	}
}

// A splitRecorder notes when its daemon has written the split.
type splitRecorder struct{ writtenAt time.Time }

func (r *splitRecorder) Record(now time.Time, number recorder.Number, _ recorder.Fields) {
	if number == EventSplit {
		r.writtenAt = now
	}
}

func TestProposerKnowsItsSplitAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, rec := newDaemon(newSlowStore(memorystore.New(), 1, callTime), 1, 0.8), &splitRecorder{}
		s.opts.Recorder = rec
		if split := agree(t, s); split.Parts != 3 {
			t.Errorf("split %+v, want 3 parts", split)
		}
		if delay := time.Since(rec.writtenAt); delay > 0 {
			t.Errorf("the split was known %s after it was written, want at once", delay)
		}
	})
}

// Guards against hundreds of daemons that each read the split and the counting key
// several times a second.
func TestDaemonThatWaitsForSplitMakesFewCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := memorystore.New()
		putCountingKey(t, store)
		slow := newSlowStore(store, 1, 0)
		var agreement sync.WaitGroup
		agreement.Go(func() { agree(t, newDaemon(slow, 1, 0.192)) })
		time.Sleep(5 * time.Second)
		if calls := slow.count(); calls > 25 {
			t.Errorf("%d calls in five seconds, want at most 25", calls)
		}
		putSplit(t, store)
		agreement.Wait()
	})
}

func TestSplitIsReadAfterWatchWithoutAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := memorystore.New()
		putCountingKey(t, store)
		slow := newSlowStore(store, 1, 0)
		slow.brokenWatches = 1
		start := time.Now()
		var agreement sync.WaitGroup
		agreement.Go(func() { agree(t, newDaemon(slow, 1, 0.8)) })
		synctest.Wait() // the daemon watches
		putSplit(t, store)
		agreement.Wait()
		if waited, limit := time.Since(start), 3*time.Second; waited > limit {
			t.Errorf("split known after %s, want at most %s", waited, limit)
		}
	})
}

func TestAnotherDaemonCountsAfterEndOfTheFirst(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := memorystore.New()
		lease := putCountingKey(t, store)
		start := time.Now()
		var agreement sync.WaitGroup
		agreement.Go(func() { agree(t, newDaemon(newSlowStore(store, 1, callTime), 2, 0.8)) })
		time.Sleep(time.Second)
		if err := store.Revoke(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		agreement.Wait()
		if waited := time.Since(start); waited > 3*time.Second {
			t.Errorf("split agreed on %s after the start, want at most 3 s", waited)
		}
	})
}
