package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var regions = []string{"north-ga", "south-ga"}

// drawPartitions draws the partitions of two regions with up to three data centres each.
func drawPartitions(r *rapid.T) []RegionalPartition {
	var partitions []RegionalPartition
	for _, region := range regions {
		for dc := range rapid.IntRange(1, 3).Draw(r, "data centres") {
			name := fmt.Sprintf("%s-%d", region, dc)
			partitions = append(partitions, RegionalPartition{Partition: ShardPartition(name), Region: region})
			for i := range RunnerPartitionCount {
				partitions = append(partitions, RegionalPartition{Partition: RunnerPartition(name, i), Region: region})
			}
		}
	}
	for i := range ClaimPartitionCount {
		partitions = append(partitions, RegionalPartition{Partition: ClaimPartition(i), Region: regions[0]})
	}
	return partitions
}

// drawCandidates draws up to nine daemons of the two regions.
func drawCandidates(r *rapid.T) []Candidate {
	var candidates []Candidate
	for i := range rapid.IntRange(1, 9).Draw(r, "daemons") {
		region := regions[rapid.IntRange(0, 1).Draw(r, "region")]
		candidates = append(candidates, Candidate{Daemon: fmt.Sprintf("d%d", i), Region: region, DataCentre: region + "-0"})
	}
	return candidates
}

func TestAssign(t *testing.T) {
	t.Run("is balanced within a kind and region", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			partitions, candidates := drawPartitions(r), drawCandidates(r)
			assertBalanced(r, partitions, candidates, Assign(partitions, candidates, nil))
		})
	})
	t.Run("does not depend on the order of its arguments", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			partitions, candidates := drawPartitions(r), drawCandidates(r)
			want := Assign(partitions, candidates, nil)
			order := rand.New(rand.NewPCG(1, 2))
			order.Shuffle(len(partitions), func(i, j int) { partitions[i], partitions[j] = partitions[j], partitions[i] })
			order.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
			if got := Assign(partitions, candidates, nil); !maps.Equal(got, want) {
				r.Errorf("assigned %v, then %v", want, got)
			}
		})
	})
	t.Run("moves nothing when nothing changes", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			partitions, candidates := drawPartitions(r), drawCandidates(r)
			want := Assign(partitions, candidates, nil)
			if got := Assign(partitions, candidates, want); !maps.Equal(got, want) {
				r.Errorf("assigned %v, then %v", want, got)
			}
		})
	})
	t.Run("moves only the partitions of a daemon that leaves", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			partitions, candidates := drawPartitions(r), drawCandidates(r)
			gone := candidates[0]
			before := Assign(partitions, candidates, nil)
			after := Assign(partitions, candidates[1:], before)
			assertBalanced(r, partitions, candidates[1:], after)
			if hasRegion(candidates[1:], gone.Region) {
				assertMoves(r, before, after, func(p Partition) bool { return before[p] == gone.Daemon })
			}
		})
	})
	t.Run("moves partitions only to a daemon that joins", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			partitions, candidates := drawPartitions(r), drawCandidates(r)
			joined := candidates[0]
			before := Assign(partitions, candidates[1:], nil)
			after := Assign(partitions, candidates, before)
			assertBalanced(r, partitions, candidates, after)
			if hasRegion(candidates[1:], joined.Region) {
				assertMoves(r, before, after, func(p Partition) bool { return after[p] == joined.Daemon })
			}
		})
	})
}

func hasRegion(candidates []Candidate, region string) bool {
	for _, c := range candidates {
		if c.Region == region {
			return true
		}
	}
	return false
}

// assertBalanced checks that, in each kind and region, the numbers of partitions
// of two eligible daemons differ by at most one.
func assertBalanced(r *rapid.T, partitions []RegionalPartition, candidates []Candidate, owners map[Partition]string) {
	r.Helper()
	counts := make(map[groupKey]map[string]int)
	for _, rp := range partitions {
		owner, ok := owners[rp.Partition]
		if !ok && len(candidates) > 0 {
			r.Fatalf("%s has no owner", rp.Partition)
		}
		key := groupKey{kind: rp.Partition.Kind(), region: rp.Region}
		if counts[key] == nil {
			counts[key] = make(map[string]int)
		}
		counts[key][owner]++
	}
	for key, count := range counts {
		for _, c := range eligible(candidates, key.region) {
			for _, other := range eligible(candidates, key.region) {
				if count[c.Daemon]-count[other.Daemon] > 1 {
					r.Errorf("%v: %s owns %d partitions, %s owns %d", key, c.Daemon, count[c.Daemon], other.Daemon, count[other.Daemon])
				}
			}
		}
	}
}

// assertMoves checks that only the allowed partitions changed their owner.
func assertMoves(r *rapid.T, before, after map[Partition]string, allowed func(Partition) bool) {
	r.Helper()
	for p, owner := range after {
		if before[p] != owner && !allowed(p) {
			r.Errorf("%s moved from %s to %s", p, before[p], owner)
		}
	}
}
