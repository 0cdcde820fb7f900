package owner

import (
	"context"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// An action is what to do with one partition in one step.
type action int

const (
	actionNone     action = iota
	actionAcquire         // acquire a partition without an owner, or whose record names this process
	actionTakeOver        // replace an owner that is no longer registered
	actionRenew           // rewrite the record of a held partition under a new incarnation
	actionRelease         // give up a partition, or a record that names this process
	actionDrop            // stop acting for a partition that was lost
)

// A view is the input of the decisions of one step. It is immutable.
type view struct {
	now          time.Time
	self         member.Identity
	lease        member.Lease
	members      map[string]member.Member
	plan         map[Partition]string // daemons that should own the partitions
	regions      map[Partition]string // regions whose daemons should own the partitions
	connectedFor time.Duration        // how long the watch of the store has been open
	isStable     bool                 // the candidates have been unchanged for settleTime
	isLeaving    bool
}

// isHomeRegion reports whether this daemon is in the region that should own a
// partition. Daemons of other regions wait before they acquire the partition, to
// give those of the region time to register.
func (v view) isHomeRegion(p Partition) bool {
	region := v.regions[p]
	return region == "" || region == v.self.Region
}

// step starts the pending actions of all planned and all held partitions.
func (o *Owner) step(ctx context.Context, now time.Time) {
	declared := o.settings.Declarations()
	if declared == nil {
		return
	}
	v := o.newView(declared, now)
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
		o.startAction(ctx, p, v)
	}
}

// newView collects the input of a step.
func (o *Owner) newView(declared *declarer.Declarations, now time.Time) view {
	v := view{
		now:          now,
		self:         o.settings.Group.Identity(),
		lease:        o.settings.Group.Lease(),
		members:      make(map[string]member.Member),
		connectedFor: o.settings.Watcher.ConnectedFor(now),
	}
	for _, m := range o.settings.Group.Members() {
		v.members[m.Daemon] = m
	}
	candidates := o.candidates(v.members, declared)
	o.mu.Lock()
	defer o.mu.Unlock()
	v.isLeaving = o.isLeaving
	v.isStable = o.isStable(candidates, now)
	current := make(map[Partition]string, len(o.records))
	for p, record := range o.records {
		if !IsGone(record, v.members) {
			current[p] = record.Owner
		}
	}
	regional := o.regionalPartitions(declared)
	v.plan = Assign(regional, candidates, current)
	v.regions = make(map[Partition]string, len(regional))
	for _, rp := range regional {
		v.regions[rp.Partition] = rp.Region
	}
	return v
}

// candidates returns the members that may own partitions, sorted by name.
func (o *Owner) candidates(members map[string]member.Member, declared *declarer.Declarations) []Candidate {
	var candidates []Candidate
	for _, m := range members {
		if peer, ok := o.settings.Group.Peer(m.Daemon); ok && peer.IsLeaving() {
			continue
		}
		candidates = append(candidates, Candidate{
			Daemon:       m.Daemon,
			DataCentre:   m.DataCentre,
			Region:       m.Region,
			IsLastResort: declared.IsOut(m.DataCentre),
		})
	}
	sortCandidates(candidates)
	return candidates
}

// regionalPartitions returns all partitions with the regions that should own them.
func (o *Owner) regionalPartitions(declared *declarer.Declarations) []RegionalPartition {
	partitions := Partitions(declared)
	regional := make([]RegionalPartition, len(partitions))
	for i, p := range partitions {
		regional[i] = RegionalPartition{Partition: p, Region: declared.RegionOf(p.DataCentre())}
		if p.Kind() == KindClaims {
			regional[i].Region = o.settings.StoreRegion
		}
	}
	return regional
}

// isStable reports whether the candidates have been unchanged for settleTime;
// the caller holds mu.
func (o *Owner) isStable(candidates []Candidate, now time.Time) bool {
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.Daemon
	}
	if set := strings.Join(names, " "); set != o.candidateSet {
		o.candidateSet = set
		o.stableSince = now
	}
	return now.Sub(o.stableSince) >= settleTime
}

// IsGone reports whether a record's owner is not registered: neither under the
// record's incarnation nor as the same process under a later one.
func IsGone(record Record, members map[string]member.Member) bool {
	m, ok := members[record.Owner]
	if !ok {
		return true
	}
	return m.Incarnation != record.Incarnation && m.Token != record.Token
}

// decide returns the action for one partition; the caller holds mu.
func (o *Owner) decide(p Partition, v view) action {
	record, known := o.records[p]
	isAssigned := v.plan[p] == v.self.Daemon && !v.isLeaving
	if held, ok := o.holdings[p]; ok {
		return o.decideHeld(held, record, v.plan[p], v)
	}
	isOwn := known && record.Token == o.token
	switch {
	case isOwn && !isAssigned && v.lease.IsValid(v.now):
		return actionRelease
	case !isAssigned || !v.lease.IsValid(v.now):
		return actionNone
	case isOwn:
		return actionAcquire
	case !v.isHomeRegion(p) && !v.isStable:
		return actionNone
	case !known, record.Owner == "":
		return actionAcquire
	case IsGone(record, v.members) && o.isReplaceable(record, v):
		return actionTakeOver
	default:
		return actionNone
	}
}

// decideHeld returns the action for a partition that this daemon holds. successor
// is the daemon that should own the partition, possibly this one. The caller holds
// mu.
func (o *Owner) decideHeld(held holding, record Record, successor string, v view) action {
	isAssigned := successor == v.self.Daemon && !v.isLeaving
	switch {
	case record.Revision > held.record.Revision && record.Token != o.token:
		return actionDrop
	case !o.isAuthorised(held.record.Incarnation, v.now):
		return actionDrop
	case !v.lease.IsValid(v.now):
		return actionNone
	case held.record.Incarnation != v.lease.Incarnation:
		return actionRenew
	case v.isLeaving, !isAssigned && v.isStable && o.isReachable(successor, v.now):
		return actionRelease
	default:
		return actionNone
	}
}

// isReachable reports whether the daemon that is to take over a partition can be
// reached. An empty name means that the partition is no longer declared: then no
// successor is needed.
func (o *Owner) isReachable(successor string, now time.Time) bool {
	if successor == "" {
		return true
	}
	peer, ok := o.settings.Group.Peer(successor)
	return ok && peer.IsReachable(now)
}

// isReplaceable reports whether an owner that is no longer registered may be
// replaced now; the caller holds mu. An owner that still sends heartbeats gets
// heartbeatGrace to register again.
func (o *Owner) isReplaceable(record Record, v view) bool {
	gone := incarnation{daemon: record.Owner, number: record.Incarnation}
	since, ok := o.goneSince[gone]
	if !ok {
		since = v.now
		o.goneSince[gone] = since
	}
	if min(v.connectedFor, v.now.Sub(v.lease.Since)) < reconnectGrace {
		return false
	}
	peer, ok := o.settings.Group.Peer(record.Owner)
	isHeard := ok && peer.Incarnation == record.Incarnation && peer.IsReachable(v.now)
	return !isHeard || v.now.Sub(since) > heartbeatGrace
}
