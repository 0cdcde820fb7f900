package releaser

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// plan returns the incarnations of the named daemons that own partitions but are no
// longer members. A restarted daemon is a member under its present incarnation only,
// so its earlier incarnations are included. plan reads the store itself, not the
// watcher's copy. It returns a refusal if one of the named daemons owns partitions
// only as a member: the lease of a dead daemon may be about to lapse, and the plan
// that is shown would not be the one that is confirmed.
func (r *Releaser) plan(ctx context.Context, daemons []string) ([]*kumquatv1.DeadIncarnation, error) {
	members, err := r.members(ctx)
	if err != nil {
		return nil, err
	}
	listing, err := r.settings.Store.List(ctx, owner.Prefix)
	if err != nil {
		return nil, err
	}
	found := make(map[string]*kumquatv1.DeadIncarnation)
	registered := make(map[string]bool)
	for _, entry := range listing.Entries {
		partition, record, err := owner.ParseRecord(entry)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(daemons, record.Owner) {
			continue
		}
		if !owner.IsGone(record, members) {
			if members[record.Owner].Incarnation == record.Incarnation {
				registered[record.Owner] = true
			}
			continue
		}
		key := fmt.Sprintf("%s/%d", record.Owner, record.Incarnation)
		if found[key] == nil {
			found[key] = &kumquatv1.DeadIncarnation{
				Incarnation: &kumquatv1.Incarnation{Daemon: record.Owner, Number: record.Incarnation},
			}
		}
		found[key].Partitions = append(found[key].Partitions, string(partition))
	}
	for _, each := range found {
		delete(registered, each.Incarnation.Daemon)
	}
	if len(registered) > 0 {
		names := slices.Sorted(maps.Keys(registered))
		return nil, refusal(strings.Join(names, ", ")+" is registered", "wait until its lease has lapsed, 4 s after the end of its process")
	}
	return sorted(found), nil
}

// members returns the registered daemons by name.
func (r *Releaser) members(ctx context.Context) (map[string]member.Member, error) {
	listing, err := r.settings.Store.List(ctx, member.Prefix)
	if err != nil {
		return nil, err
	}
	members := make(map[string]member.Member, len(listing.Entries))
	for _, entry := range listing.Entries {
		m, err := member.Parse(entry)
		if err != nil {
			return nil, err
		}
		members[m.Daemon] = m
	}
	return members, nil
}

// sorted returns the incarnations in the order of their daemons and numbers.
func sorted(found map[string]*kumquatv1.DeadIncarnation) []*kumquatv1.DeadIncarnation {
	dead := make([]*kumquatv1.DeadIncarnation, 0, len(found))
	for _, each := range found {
		slices.Sort(each.Partitions)
		dead = append(dead, each)
	}
	slices.SortFunc(dead, func(a, b *kumquatv1.DeadIncarnation) int {
		return cmp.Or(
			cmp.Compare(a.Incarnation.Daemon, b.Incarnation.Daemon),
			cmp.Compare(a.Incarnation.Number, b.Incarnation.Number),
		)
	})
	return dead
}

// planID returns the ID of a plan: a hash of the incarnations. It doesn't include the
// partitions, because other daemons take them over while a repeated call is in
// progress.
func planID(dead []*kumquatv1.DeadIncarnation) string {
	var text strings.Builder
	for _, each := range dead {
		fmt.Fprintf(&text, "%s/%d\n", each.Incarnation.Daemon, each.Incarnation.Number)
	}
	return strconv.FormatUint(xxhash.Sum64String(text.String()), 16)
}
