package sharder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
)

// A byteCounter counts the bytes of the values written to a store.
type byteCounter struct {
	storer.Store
	bytes atomic.Int64
}

func (w *byteCounter) CompareAndSwap(ctx context.Context, swap storer.Swap) (storer.Revision, error) {
	w.bytes.Add(int64(len(swap.Value)))
	return w.Store.CompareAndSwap(ctx, swap)
}

// A meter counts the calls to the workers and the bytes of their JSON bodies.
type meter struct {
	commander.Dialer
	calls atomic.Int64
	bytes atomic.Int64
}

func (m *meter) Agent(address string) commander.Agent {
	return &meteredAgent{Agent: m.Dialer.Agent(address), meter: m}
}

// count adds one call with its request and response bodies.
func (m *meter) count(bodies ...any) {
	m.calls.Add(1)
	for _, body := range bodies {
		encoded, err := json.Marshal(body)
		if err == nil {
			m.bytes.Add(int64(len(encoded)))
		}
	}
}

type meteredAgent struct {
	commander.Agent
	meter *meter
}

func (a *meteredAgent) Start(ctx context.Context, start commander.Start) error {
	a.meter.count(start)
	return a.Agent.Start(ctx, start)
}

func (a *meteredAgent) Renew(ctx context.Context, renewal commander.Renewal) (commander.RenewalResult, error) {
	renewed, err := a.Agent.Renew(ctx, renewal)
	a.meter.count(commander.RenewRequest{Fence: renewal.Fence, IDs: renewal.IDs, Lease: renewal.Lease, Forget: renewal.Forget},
		commander.RenewResponse{Ended: renewed.Ended, Unknown: renewed.Unknown})
	return renewed, err
}

func (a *meteredAgent) Report(ctx context.Context, fence commander.Fence) (commander.Report, error) {
	report, err := a.Agent.Report(ctx, fence)
	a.meter.count(report)
	return report, err
}

func (a *meteredAgent) Usage(ctx context.Context) ([]commander.Usage, error) {
	usages, err := a.Agent.Usage(ctx)
	a.meter.count(commander.UsageResponse{Usages: usages})
	return usages, err
}

// The deployment to design for has eight shards, each with 55 workers. A
// shard's part of the peak of 350 starts a second is 44; with tasks that run
// for ten minutes, a shard has 1,200 of them. The test bounds the store writes
// a second of one such shard.
func TestRateOfWrites(t *testing.T) {
	t.Run("peak", func(t *testing.T) { measureRates(t, 44, 27*time.Second, 12) })
	t.Run("long tasks", func(t *testing.T) { measureRates(t, 2, 10*time.Minute, 6) })
}

// measureRates adds tasks to a shard until it is full, then measures for a
// minute and checks the rates of starts and of store writes.
func measureRates(t *testing.T, startsPerSecond int, run time.Duration, maxWrites float64) {
	synctest.Test(t, func(t *testing.T) {
		const measured = 60 * time.Second
		r := newRig(t, 55)
		written := &byteCounter{Store: r.store}
		m := &meter{Dialer: r.fleet}
		r.wrapStore = written
		s := r.startOwner("atl-a", func(commander.Dialer) commander.Dialer { return m })
		defer s.kill()
		second := 0
		feed := func(length time.Duration) {
			for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(time.Second) {
				s.Ingest(intentOf(fmt.Sprintf("i%d", second), "atl-a", startsPerSecond, run))
				second++
			}
		}
		feed(run)
		writes, bytes, calls, traffic, starts := r.store.Counts().Writes, written.bytes.Load(), m.calls.Load(), m.bytes.Load(), r.starts("i")
		feed(measured)
		seconds := measured.Seconds()
		writeRate := float64(r.store.Counts().Writes-writes) / seconds
		startRate := float64(r.starts("i")-starts) / seconds
		t.Logf("one shard: %.1f starts/s, %.1f store writes/s of %.1f KB/s, %.0f worker calls/s of %.1f KB/s",
			startRate, writeRate, float64(written.bytes.Load()-bytes)/seconds/1000,
			float64(m.calls.Load()-calls)/seconds, float64(m.bytes.Load()-traffic)/seconds/1000)
		if startRate < float64(startsPerSecond)*0.97 {
			t.Errorf("%.1f starts/s, want %d", startRate, startsPerSecond)
		}
		if writeRate > maxWrites {
			t.Errorf("%.1f store writes/s, want at most %.0f", writeRate, maxWrites)
		}
		r.untilCount(s.Sharder, finishedState, second*startsPerSecond)
		r.assertGuarantees(second * startsPerSecond)
	})
}
