package owner

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// A Candidate is a daemon that may own partitions.
type Candidate struct {
	Daemon     string
	DataCentre string
	Region     string
	// IsLastResort marks a daemon that gets partitions only if there is no other candidate.
	IsLastResort bool
}

// A RegionalPartition is a partition with the region whose daemons should own
// it. An empty region allows daemons of all regions.
type RegionalPartition struct {
	Partition Partition
	Region    string
}

// Assign distributes partitions over candidates and returns the owner of each
// partition. It balances each kind of partition in each region: the numbers of
// partitions of two candidates differ by at most one. A partition moves only if
// its owner in current is not a candidate or has more than its share. The result
// depends only on the contents of the arguments, not on their order.
func Assign(partitions []RegionalPartition, candidates []Candidate, current map[Partition]string) map[Partition]string {
	a := assignment{
		owners:    make(map[Partition]string, len(partitions)),
		totalLoad: make(map[string]int, len(candidates)),
	}
	groups := make(map[groupKey][]Partition)
	for _, regional := range partitions {
		key := groupKey{kind: regional.Partition.Kind(), region: regional.Region}
		groups[key] = append(groups[key], regional.Partition)
	}
	for _, key := range sortGroups(groups) {
		eligible := eligible(candidates, key.region)
		if len(eligible) > 0 {
			a.assign(groups[key], eligible, current)
		}
	}
	return a.owners
}

// A groupKey identifies the partitions that are balanced together.
type groupKey struct {
	kind   Kind
	region string
}

// sortGroups sorts the partitions of each group and returns the keys in order.
func sortGroups(groups map[groupKey][]Partition) []groupKey {
	keys := make([]groupKey, 0, len(groups))
	for key, partitions := range groups {
		sort.Slice(partitions, func(i, j int) bool { return partitions[i] < partitions[j] })
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].kind != keys[j].kind {
			return keys[i].kind < keys[j].kind
		}
		return keys[i].region < keys[j].region
	})
	return keys
}

// eligible returns the candidates for the partitions of a region. It prefers
// candidates of the region to those of other regions; within each of the two
// it returns candidates of last resort only if there are no others.
func eligible(candidates []Candidate, region string) []Candidate {
	filters := []func(Candidate) bool{
		func(c Candidate) bool { return !c.IsLastResort && (region == "" || c.Region == region) },
		func(c Candidate) bool { return region == "" || c.Region == region },
		func(c Candidate) bool { return !c.IsLastResort },
		func(Candidate) bool { return true },
	}
	for _, matches := range filters {
		var found []Candidate
		for _, c := range candidates {
			if matches(c) {
				found = append(found, c)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// An assignment is the state of one call of Assign.
type assignment struct {
	owners    map[Partition]string // daemons that own the partitions
	totalLoad map[string]int       // number of partitions in all groups, by daemon
}

// assign distributes the partitions of one group. The load that it passes to the
// other methods is the number of the group's partitions by daemon.
func (a *assignment) assign(partitions []Partition, candidates []Candidate, current map[Partition]string) {
	load := make(map[string]int, len(candidates))
	for _, c := range candidates {
		load[c.Daemon] = 0
	}
	var unowned []Partition
	for _, p := range partitions {
		daemon := current[p]
		if _, ok := load[daemon]; !ok {
			unowned = append(unowned, p)
			continue
		}
		a.setOwner(p, daemon, load)
	}
	for _, p := range unowned {
		a.setOwner(p, a.leastLoaded(p, candidates, load), load)
	}
	a.rebalance(partitions, candidates, load)
}

// setOwner assigns a partition to a daemon and updates the load counts of the
// daemon and of the former owner.
func (a *assignment) setOwner(p Partition, daemon string, load map[string]int) {
	if former, ok := a.owners[p]; ok {
		load[former]--
		a.totalLoad[former]--
	}
	a.owners[p] = daemon
	load[daemon]++
	a.totalLoad[daemon]++
}

// rebalance moves partitions from the most to the least loaded candidate until
// their loads differ by at most one.
func (a *assignment) rebalance(partitions []Partition, candidates []Candidate, load map[string]int) {
	for range partitions {
		mostLoaded := a.mostLoaded(candidates, load)
		p := a.movable(partitions, mostLoaded)
		leastLoaded := a.leastLoaded(p, candidates, load)
		if load[mostLoaded]-load[leastLoaded] <= 1 {
			return
		}
		a.setOwner(p, leastLoaded, load)
	}
}

// movable returns the partition that a daemon gives up first: the last one that it
// owns, in the order of the argument.
func (a *assignment) movable(partitions []Partition, daemon string) Partition {
	for i := len(partitions) - 1; i >= 0; i-- {
		if a.owners[partitions[i]] == daemon {
			return partitions[i]
		}
	}
	return ""
}

// mostLoaded returns the candidate with the most partitions of the group.
func (a *assignment) mostLoaded(candidates []Candidate, load map[string]int) string {
	best := candidates[0].Daemon
	for _, c := range candidates[1:] {
		if load[c.Daemon] > load[best] || load[c.Daemon] == load[best] && c.Daemon < best {
			best = c.Daemon
		}
	}
	return best
}

// leastLoaded returns the candidate with the fewest partitions of the group.
// Among equals it prefers one in the partition's data centre, then the one with
// the fewest partitions in all groups.
func (a *assignment) leastLoaded(p Partition, candidates []Candidate, load map[string]int) string {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if a.isPreferred(p, c, best, load) {
			best = c
		}
	}
	return best.Daemon
}

// isPreferred reports whether candidate x should get a partition rather than y.
func (a *assignment) isPreferred(p Partition, x, y Candidate, load map[string]int) bool {
	if load[x.Daemon] != load[y.Daemon] {
		return load[x.Daemon] < load[y.Daemon]
	}
	if isLocal := x.DataCentre == p.DataCentre(); isLocal != (y.DataCentre == p.DataCentre()) {
		return isLocal
	}
	if a.totalLoad[x.Daemon] != a.totalLoad[y.Daemon] {
		return a.totalLoad[x.Daemon] < a.totalLoad[y.Daemon]
	}
	weightX, weightY := rendezvousWeight(p, x.Daemon), rendezvousWeight(p, y.Daemon)
	if weightX != weightY {
		return weightX > weightY
	}
	return x.Daemon < y.Daemon
}

// rendezvousWeight returns the rendezvous hash of a daemon for a partition. It
// orders the daemons differently for each partition, so that equally loaded
// daemons share the partitions.
func rendezvousWeight(p Partition, daemon string) uint64 {
	return xxhash.Sum64String(string(p) + "\x00" + daemon)
}
