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
	// Avoid marks a daemon that gets partitions only if no other can.
	Avoid bool
}

// A Place is a partition with the region whose daemons should own it. An
// empty region allows all.
type Place struct {
	Partition Partition
	Region    string
}

// Assign distributes partitions over candidates. Partitions of one kind and
// region are spread so that two candidates differ by one at most. A partition
// moves only if its owner is no candidate or has more than its share. The
// result depends on the arguments alone, not on their order.
func Assign(places []Place, candidates []Candidate, current map[Partition]string) map[Partition]string {
	a := assignment{
		owners: make(map[Partition]string, len(places)),
		total:  make(map[string]int, len(candidates)),
	}
	groups := make(map[group][]Partition)
	for _, place := range places {
		key := group{kind: place.Partition.Kind(), region: place.Region}
		groups[key] = append(groups[key], place.Partition)
	}
	for _, key := range sortedGroups(groups) {
		eligible := eligible(candidates, key.region)
		if len(eligible) > 0 {
			a.assign(groups[key], eligible, current)
		}
	}
	return a.owners
}

type group struct {
	kind   Kind
	region string
}

func sortedGroups(groups map[group][]Partition) []group {
	keys := make([]group, 0, len(groups))
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

// eligible returns the candidates of a region, or all if it has none; those
// to be avoided only if there are no others.
func eligible(candidates []Candidate, region string) []Candidate {
	tests := []func(Candidate) bool{
		func(c Candidate) bool { return !c.Avoid && (region == "" || c.Region == region) },
		func(c Candidate) bool { return region == "" || c.Region == region },
		func(c Candidate) bool { return !c.Avoid },
		func(Candidate) bool { return true },
	}
	for _, test := range tests {
		var found []Candidate
		for _, c := range candidates {
			if test(c) {
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
	owners map[Partition]string
	total  map[string]int // partitions of all groups, by daemon
}

func (a *assignment) assign(partitions []Partition, candidates []Candidate, current map[Partition]string) {
	load := make(map[string]int, len(candidates))
	for _, c := range candidates {
		load[c.Daemon] = 0
	}
	var orphans []Partition
	for _, p := range partitions {
		daemon := current[p]
		if _, ok := load[daemon]; !ok {
			orphans = append(orphans, p)
			continue
		}
		a.give(p, daemon, load)
	}
	for _, p := range orphans {
		a.give(p, a.least(p, candidates, load), load)
	}
	a.level(partitions, candidates, load)
}

func (a *assignment) give(p Partition, daemon string, load map[string]int) {
	if former, ok := a.owners[p]; ok {
		load[former]--
		a.total[former]--
	}
	a.owners[p] = daemon
	load[daemon]++
	a.total[daemon]++
}

// level moves partitions from the most to the least loaded candidate until
// they differ by one at most.
func (a *assignment) level(partitions []Partition, candidates []Candidate, load map[string]int) {
	for range partitions {
		most := a.most(candidates, load)
		p := a.movable(partitions, most)
		least := a.least(p, candidates, load)
		if load[most]-load[least] <= 1 {
			return
		}
		a.give(p, least, load)
	}
}

// movable returns the partition that a daemon gives away first.
func (a *assignment) movable(partitions []Partition, daemon string) Partition {
	for i := len(partitions) - 1; i >= 0; i-- {
		if a.owners[partitions[i]] == daemon {
			return partitions[i]
		}
	}
	return ""
}

func (a *assignment) most(candidates []Candidate, load map[string]int) string {
	best := candidates[0].Daemon
	for _, c := range candidates[1:] {
		if load[c.Daemon] > load[best] || load[c.Daemon] == load[best] && c.Daemon < best {
			best = c.Daemon
		}
	}
	return best
}

// least returns the candidate with the fewest partitions of the group; then
// one of the partition's data centre, then the one with the fewest of all.
func (a *assignment) least(p Partition, candidates []Candidate, load map[string]int) string {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if a.before(p, c, best, load) {
			best = c
		}
	}
	return best.Daemon
}

func (a *assignment) before(p Partition, x, y Candidate, load map[string]int) bool {
	if load[x.Daemon] != load[y.Daemon] {
		return load[x.Daemon] < load[y.Daemon]
	}
	if near := x.DataCentre == p.DataCentre(); near != (y.DataCentre == p.DataCentre()) {
		return near
	}
	if a.total[x.Daemon] != a.total[y.Daemon] {
		return a.total[x.Daemon] < a.total[y.Daemon]
	}
	weightX, weightY := weight(p, x.Daemon), weight(p, y.Daemon)
	if weightX != weightY {
		return weightX > weightY
	}
	return x.Daemon < y.Daemon
}

// weight orders daemons differently for each partition.
func weight(p Partition, daemon string) uint64 {
	return xxhash.Sum64String(string(p) + "\x00" + daemon)
}
