package owner

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// TestReplaceable checks when a daemon may replace an owner that is neither
// registered nor sends heartbeats. After a store outage all leases may have
// lapsed, so a daemon that has just connected or registered has to wait until the
// others can have registered again. A watch may stay open through the outage, so
// the age of the connection alone is not enough.
func TestReplaceable(t *testing.T) {
	now := time.Now()
	group := member.New(member.Settings{Watcher: watcher.New(nil, watcher.Root, recorder.Discard{})})
	cases := []struct {
		name         string
		connectedFor time.Duration
		held         time.Duration
		want         bool
	}{
		{"connected and registered for long enough", time.Minute, time.Minute, true},
		{"not if it has just connected", time.Second, time.Minute, false},
		{"not if it has just registered", time.Minute, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &Owner{settings: Settings{Group: group}, goneSince: make(map[incarnation]time.Time)}
			v := view{now: now, connectedFor: c.connectedFor, lease: member.Lease{Incarnation: 2, Since: now.Add(-c.held)}}
			if got := o.isReplaceable(Record{Owner: "other", Incarnation: 1}, v); got != c.want {
				t.Errorf("replaceable %t, want %t", got, c.want)
			}
		})
	}
}

// TestDecideOnPartitionsNotHeld checks which of the partitions planned for it a
// daemon acquires at once, and which only after the candidates have been stable.
func TestDecideOnPartitionsNotHeld(t *testing.T) {
	const p, own = Partition("shard:sav-a"), "token"
	now := time.Now()
	cases := []struct {
		name     string
		record   *Record
		region   string
		isStable bool
		want     action
	}{
		{"a new partition of the daemon's region is acquired", nil, "south-ga", false, actionAcquire},
		{"a released partition of the daemon's region is acquired", &Record{}, "south-ga", false, actionAcquire},
		{"a partition without a region is acquired", nil, "", false, actionAcquire},
		{"a partition of another region is not acquired at once", nil, "north-ga", false, actionNone},
		{"a partition of another region is acquired once the candidates are stable", nil, "north-ga", true, actionAcquire},
		{"a partition whose record names this process is acquired again", &Record{Owner: "d", Token: own}, "north-ga", false, actionAcquire},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &Owner{token: own, records: make(map[Partition]Record)}
			if c.record != nil {
				o.records[p] = *c.record
			}
			v := view{
				now: now, isStable: c.isStable,
				self:    member.Identity{Daemon: "d", Region: "south-ga"},
				lease:   member.Lease{Incarnation: 1}.WithRenewal(now, member.LeaseTTL),
				plan:    map[Partition]string{p: "d"},
				regions: map[Partition]string{p: c.region},
			}
			if got := o.decide(p, v); got != c.want {
				t.Errorf("decided on action %d, want %d", got, c.want)
			}
		})
	}
}
