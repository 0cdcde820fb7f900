package slotter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// drainPollInterval is the interval at which draining checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// A Load describes how busy this daemon's runners of one upstream are.
type Load struct {
	Upstream string
	// Slots is the number of slots that may be used now.
	Slots int
	// Free is the number of these slots that are not in use.
	Free int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Service is the mean service time: how long a request holds a slot.
	Service time.Duration
}

// Load returns the load of one upstream.
func (s *Slots) Load(name string, now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[name]
	if up == nil {
		return Load{Upstream: name, Service: initialServiceTime}
	}
	return s.load(name, up, now)
}

// Loads returns the loads of all upstreams, ordered by name.
func (s *Slots) Loads(now time.Time) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]Load, 0, len(s.upstreams))
	for name, up := range s.upstreams {
		loads = append(loads, s.load(name, up, now))
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Upstream, b.Upstream) })
	return loads
}

// load computes the load of an upstream.
func (s *Slots) load(name string, up *upstream, now time.Time) Load {
	load := Load{Upstream: name, Queued: up.queue.Len(), Service: up.serviceTime}
	for _, c := range s.candidates(up, now) {
		if c.IsExcluded {
			continue
		}
		load.Slots += c.Health.Limit(c.Slots, up.median, now)
		load.Free += c.Free(up.median, now)
	}
	return load
}

// Drain waits until no request is in flight or queued. It does not refuse new requests.
func (s *Slots) Drain(ctx context.Context) (err error) {
	return s.awaitZero(ctx, func() int {
		busy := 0
		for _, up := range s.upstreams {
			busy += up.queue.Len()
			for _, r := range up.runners {
				busy += r.inFlight
			}
		}
		return busy
	})
}

// DrainPartition stops granting slots of a partition's runners, waits until their
// requests have ended, including those of a former owner, and closes the idle
// connections. Once it has returned nil, the partition can be handed over. The
// partition stays drained until this daemon acquires it in a later epoch.
func (s *Slots) DrainPartition(ctx context.Context, partition owner.Partition) (err error) {
	now := s.opts.Now()
	s.mu.Lock()
	epoch, held := s.opts.Authority.Holds(partition, now)
	if held {
		s.drained[partition] = epoch
	}
	s.mu.Unlock()
	err = s.awaitZero(ctx, func() int { return s.busyIn(partition) })
	if err != nil {
		return fmt.Errorf("drain %s: %w", partition, err)
	}
	s.closeIdle(partition)
	s.opts.Recorder.Record(s.opts.Now(), EventPartitionDrained, recorder.Fields{"partition": string(partition)})
	return nil
}

// busyIn returns the number of requests in flight at a partition's runners. A
// runner that may still process requests of a former owner counts as one more.
func (s *Slots) busyIn(partition owner.Partition) int {
	now := s.opts.Now()
	busy := 0
	for _, up := range s.upstreams {
		for _, r := range up.runners {
			if r.partition != partition {
				continue
			}
			busy += r.inFlight
			if !s.isTakeoverComplete(r, up, now) {
				busy++
			}
		}
	}
	return busy
}

// closeIdle closes the idle connections to a partition's runners.
func (s *Slots) closeIdle(partition owner.Partition) {
	s.mu.Lock()
	var idle []*exchanger.Conn
	for _, up := range s.upstreams {
		for _, r := range up.runners {
			if r.partition == partition {
				idle = append(idle, r.takeIdle()...)
			}
		}
	}
	s.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// awaitZero polls a count, with the table locked, until it is zero.
func (s *Slots) awaitZero(ctx context.Context, count func() int) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		left := count()
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests still in flight or queued: %w", left, context.Cause(ctx))
		case <-ticker.C:
		}
	}
}
