package owner

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// TestReplaceable decides on an owner that is gone and isn't heard, by a daemon
// whose watch was silent through an outage.
func TestReplaceable(t *testing.T) {
	now := time.Now()
	group := member.New(member.Settings{Watcher: watcher.New(nil, watcher.Root, recorder.Discard{})})
	cases := []struct {
		name      string
		connected time.Duration
		held      time.Duration
		want      bool
	}{
		{"by one that has followed the store", time.Minute, time.Minute, true},
		{"not by one that has just connected", time.Second, time.Minute, false},
		{"not by one that has just registered", time.Minute, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &Owner{settings: Settings{Group: group}, goneSince: make(map[incarnation]time.Time)}
			v := view{now: now, connected: c.connected, lease: member.Lease{Incarnation: 2, Since: now.Add(-c.held)}}
			if got := o.isReplaceable(Record{Owner: "other", Incarnation: 1}, v); got != c.want {
				t.Errorf("replaceable %t, want %t", got, c.want)
			}
		})
	}
}

func TestDecideOnPartitionsNotHeld(t *testing.T) {
	const p, own = Partition("shard:sav-a"), "token"
	now := time.Now()
	cases := []struct {
		name   string
		record *Record
		region string
		stable bool
		want   action
	}{
		{"a new one of the own region is acquired", nil, "south-ga", false, actionAcquire},
		{"a free one of the own region is acquired", &Record{}, "south-ga", false, actionAcquire},
		{"one that belongs to no region is acquired", nil, "", false, actionAcquire},
		{"one of another region may still get an owner there", nil, "north-ga", false, actionNone},
		{"one of another region that has no daemons is acquired", nil, "north-ga", true, actionAcquire},
		{"one that this process owned is acquired again", &Record{Owner: "d", Token: own}, "north-ga", false, actionAcquire},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &Owner{token: own, records: make(map[Partition]Record)}
			if c.record != nil {
				o.records[p] = *c.record
			}
			v := view{
				now: now, stable: c.stable,
				self:    member.Identity{Daemon: "d", Region: "south-ga"},
				lease:   member.Lease{Incarnation: 1}.WithRenewal(now, member.LeaseTTL),
				plan:    map[Partition]string{p: "d"},
				regions: map[Partition]string{p: c.region},
			}
			if got := o.decide(p, v); got != c.want {
				t.Errorf("decided %d, want %d", got, c.want)
			}
		})
	}
}
