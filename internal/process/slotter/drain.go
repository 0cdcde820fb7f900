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

// drainPoll is the time between two looks at what is in flight.
const drainPoll = 10 * time.Millisecond

// A Load tells how busy the runners of this daemon are.
type Load struct {
	Upstream string
	// Slots is the number of slots that may be used now.
	Slots int
	// Free is the number of those that are not in use.
	Free int
	// Queued is the number of requests that wait.
	Queued int
	// Service is the mean time that a slot is in use.
	Service time.Duration
}

// Load returns the load of one upstream.
func (s *Slots) Load(name string, now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[name]
	if up == nil {
		return Load{Upstream: name, Service: initialService}
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
	load := Load{Upstream: name, Queued: up.queue.Len(), Service: up.service}
	for _, c := range s.candidates(up, now) {
		if c.IsExcluded {
			continue
		}
		load.Slots += c.Health.Limit(c.Slots, up.median, now)
		load.Free += c.Free(up.median, now)
	}
	return load
}

// Drain waits until no request is in flight or waits. It doesn't refuse any.
func (s *Slots) Drain(ctx context.Context) (err error) {
	return s.await(ctx, func() int {
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

// DrainPartition gives no more slots of a partition's runners, waits until
// their requests have ended, those of a former owner included, and closes their
// connections. After it returned nil the partition can be handed over. It holds
// until the partition is acquired anew.
func (s *Slots) DrainPartition(ctx context.Context, partition owner.Partition) (err error) {
	now := s.opts.Now()
	s.mu.Lock()
	epoch, held := s.opts.Authority.Holds(partition, now)
	if held {
		s.drained[partition] = epoch
	}
	s.mu.Unlock()
	err = s.await(ctx, func() int { return s.busyIn(partition) })
	if err != nil {
		return fmt.Errorf("drain %s: %w", partition, err)
	}
	s.closeIdle(partition)
	s.opts.Recorder.Record(s.opts.Now(), EventPartitionDrained, recorder.Fields{"partition": string(partition)})
	return nil
}

// busyIn returns the requests at a partition's runners. A runner that a former
// owner may still use counts as one.
func (s *Slots) busyIn(partition owner.Partition) int {
	now := s.opts.Now()
	busy := 0
	for _, up := range s.upstreams {
		for _, r := range up.runners {
			if r.partition != partition {
				continue
			}
			busy += r.inFlight
			if !s.isSettled(r, up, now) {
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

// await polls a count under the lock until it is zero.
func (s *Slots) await(ctx context.Context, count func() int) error {
	ticker := time.NewTicker(drainPoll)
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
			return fmt.Errorf("%d requests left: %w", left, context.Cause(ctx))
		case <-ticker.C:
		}
	}
}
