package owner

import (
	"context"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// An action is what a step decided for one partition.
type action int

const (
	actionNone action = iota
	actionAcquire
	actionTakeOver
	actionRenew
	actionRelease
	actionDrop
)

// A view is what a step decides on. It is not modified.
type view struct {
	now       time.Time
	self      member.Identity
	lease     member.Lease
	members   map[string]member.Member
	plan      map[Partition]string
	regions   map[Partition]string // whose daemons should own it
	connected time.Duration
	stable    bool
	leaving   bool
}

// isHome reports whether this daemon is of the region that should own a
// partition. Those of others leave it time to register.
func (v view) isHome(p Partition) bool {
	region := v.regions[p]
	return region == "" || region == v.self.Region
}

// step looks at all partitions and starts what has to be done.
func (o *Owner) step(ctx context.Context, now time.Time) {
	declared := o.settings.Declarations()
	if declared == nil {
		return
	}
	v := o.look(declared, now)
	o.mu.Lock()
	partitions := make(map[Partition]bool, len(v.plan))
	for p := range v.plan {
		partitions[p] = true
	}
	for p := range o.holdings {
		partitions[p] = true
	}
	o.mu.Unlock()
	for p := range partitions {
		o.start(ctx, p, v)
	}
}

// look gathers the view of a step.
func (o *Owner) look(declared *declarer.Declarations, now time.Time) view {
	v := view{
		now:       now,
		self:      o.settings.Group.Identity(),
		lease:     o.settings.Group.Lease(),
		members:   make(map[string]member.Member),
		connected: o.settings.Watcher.ConnectedFor(now),
	}
	for _, m := range o.settings.Group.Members() {
		v.members[m.Daemon] = m
	}
	candidates := o.candidates(v.members, declared)
	o.mu.Lock()
	defer o.mu.Unlock()
	v.leaving = o.leaving
	v.stable = o.isStable(candidates, now)
	current := make(map[Partition]string, len(o.records))
	for p, record := range o.records {
		if !IsGone(record, v.members) {
			current[p] = record.Owner
		}
	}
	places := o.places(declared)
	v.plan = Assign(places, candidates, current)
	v.regions = make(map[Partition]string, len(places))
	for _, place := range places {
		v.regions[place.Partition] = place.Region
	}
	return v
}

// candidates returns the members that may own partitions.
func (o *Owner) candidates(members map[string]member.Member, declared *declarer.Declarations) []Candidate {
	var candidates []Candidate
	for _, m := range members {
		if peer, ok := o.settings.Group.Peer(m.Daemon); ok && peer.IsLeaving() {
			continue
		}
		candidates = append(candidates, Candidate{
			Daemon:     m.Daemon,
			DataCentre: m.DataCentre,
			Region:     m.Region,
			Avoid:      declared.IsOut(m.DataCentre),
		})
	}
	sortCandidates(candidates)
	return candidates
}

func (o *Owner) places(declared *declarer.Declarations) []Place {
	partitions := Partitions(declared)
	places := make([]Place, len(partitions))
	for i, p := range partitions {
		places[i] = Place{Partition: p, Region: declared.RegionOf(p.DataCentre())}
		if p.Kind() == KindClaims {
			places[i].Region = o.settings.StoreRegion
		}
	}
	return places
}

// isStable reports whether the candidates are unchanged for some time; the
// caller holds mu.
func (o *Owner) isStable(candidates []Candidate, now time.Time) bool {
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.Daemon
	}
	if set := strings.Join(names, " "); set != o.memberSet {
		o.memberSet = set
		o.stableSince = now
	}
	return now.Sub(o.stableSince) >= settleTime
}

// IsGone reports whether a record's owner is no member: neither under the
// record's incarnation nor as the same process under a later one.
func IsGone(record Record, members map[string]member.Member) bool {
	m, ok := members[record.Owner]
	if !ok {
		return true
	}
	return m.Incarnation != record.Incarnation && m.Token != record.Token
}

// decide chooses the action for one partition; the caller holds mu.
func (o *Owner) decide(p Partition, v view) action {
	record, known := o.records[p]
	wanted := v.plan[p] == v.self.Daemon && !v.leaving
	if held, ok := o.holdings[p]; ok {
		return o.decideHeld(held, record, v.plan[p], v)
	}
	mine := known && record.Token == o.token
	switch {
	case mine && !wanted && v.lease.Holds(v.now):
		return actionRelease
	case !wanted || !v.lease.Holds(v.now):
		return actionNone
	case mine:
		return actionAcquire
	case !v.isHome(p) && !v.stable:
		return actionNone
	case !known, record.Owner == "":
		return actionAcquire
	case IsGone(record, v.members) && o.isReplaceable(record, v):
		return actionTakeOver
	default:
		return actionNone
	}
}

func (o *Owner) decideHeld(held holding, record Record, heir string, v view) action {
	wanted := heir == v.self.Daemon && !v.leaving
	switch {
	case record.Revision > held.record.Revision && record.Token != o.token:
		return actionDrop
	case !o.authorised(held.record.Incarnation, v.now):
		return actionDrop
	case !v.lease.Holds(v.now):
		return actionNone
	case held.record.Incarnation != v.lease.Incarnation:
		return actionRenew
	case v.leaving, !wanted && v.stable && o.isReachable(heir, v.now):
		return actionRelease
	default:
		return actionNone
	}
}

// isReachable reports whether a daemon can take a partition over; nobody has
// to if the partition is no longer declared.
func (o *Owner) isReachable(heir string, now time.Time) bool {
	if heir == "" {
		return true
	}
	peer, ok := o.settings.Group.Peer(heir)
	return ok && peer.IsReachable(now)
}

// isReplaceable reports whether an owner that is gone may be replaced now;
// the caller holds mu.
func (o *Owner) isReplaceable(record Record, v view) bool {
	gone := incarnation{daemon: record.Owner, number: record.Incarnation}
	since, ok := o.goneSince[gone]
	if !ok {
		since = v.now
		o.goneSince[gone] = since
	}
	if min(v.connected, v.now.Sub(v.lease.Since)) < reconnectGrace {
		return false
	}
	peer, ok := o.settings.Group.Peer(record.Owner)
	isHeard := ok && peer.Incarnation == record.Incarnation && peer.IsReachable(v.now)
	return !isHeard || v.now.Sub(since) > heardGrace
}
