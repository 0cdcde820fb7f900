package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var regions = []string{"north-ga", "south-ga"}

func drawPlaces(r *rapid.T) []Place {
	var places []Place
	for _, region := range regions {
		for dc := range rapid.IntRange(1, 3).Draw(r, "data centres") {
			name := fmt.Sprintf("%s-%d", region, dc)
			places = append(places, Place{Partition: ShardPartition(name), Region: region})
			for i := range RunnerPartitionCount {
				places = append(places, Place{Partition: RunnerPartition(name, i), Region: region})
			}
		}
	}
	for i := range ClaimPartitionCount {
		places = append(places, Place{Partition: ClaimPartition(i), Region: regions[0]})
	}
	return places
}

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
			places, candidates := drawPlaces(r), drawCandidates(r)
			assertBalanced(r, places, candidates, Assign(places, candidates, nil))
		})
	})
	t.Run("does not depend on the order of its arguments", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			places, candidates := drawPlaces(r), drawCandidates(r)
			want := Assign(places, candidates, nil)
			order := rand.New(rand.NewPCG(1, 2))
			order.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
			order.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
			if got := Assign(places, candidates, nil); !maps.Equal(got, want) {
				r.Errorf("assigned %v, then %v", want, got)
			}
		})
	})
	t.Run("moves nothing when nothing changes", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			places, candidates := drawPlaces(r), drawCandidates(r)
			want := Assign(places, candidates, nil)
			if got := Assign(places, candidates, want); !maps.Equal(got, want) {
				r.Errorf("assigned %v, then %v", want, got)
			}
		})
	})
	t.Run("moves only what a daemon that goes had", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			places, candidates := drawPlaces(r), drawCandidates(r)
			gone := candidates[0]
			before := Assign(places, candidates, nil)
			after := Assign(places, candidates[1:], before)
			assertBalanced(r, places, candidates[1:], after)
			if hasRegion(candidates[1:], gone.Region) {
				assertMoves(r, before, after, func(p Partition) bool { return before[p] == gone.Daemon })
			}
		})
	})
	t.Run("moves only to a daemon that comes", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			places, candidates := drawPlaces(r), drawCandidates(r)
			came := candidates[0]
			before := Assign(places, candidates[1:], nil)
			after := Assign(places, candidates, before)
			assertBalanced(r, places, candidates, after)
			if hasRegion(candidates[1:], came.Region) {
				assertMoves(r, before, after, func(p Partition) bool { return after[p] == came.Daemon })
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

func assertBalanced(r *rapid.T, places []Place, candidates []Candidate, owners map[Partition]string) {
	r.Helper()
	counts := make(map[group]map[string]int)
	for _, place := range places {
		owner, ok := owners[place.Partition]
		if !ok && len(candidates) > 0 {
			r.Fatalf("%s has no owner", place.Partition)
		}
		key := group{kind: place.Partition.Kind(), region: place.Region}
		if counts[key] == nil {
			counts[key] = make(map[string]int)
		}
		counts[key][owner]++
	}
	for key, count := range counts {
		for _, c := range eligible(candidates, key.region) {
			for _, other := range eligible(candidates, key.region) {
				if count[c.Daemon]-count[other.Daemon] > 1 {
					r.Errorf("%v: %s has %d, %s has %d", key, c.Daemon, count[c.Daemon], other.Daemon, count[other.Daemon])
				}
			}
		}
	}
}

func assertMoves(r *rapid.T, before, after map[Partition]string, allowed func(Partition) bool) {
	r.Helper()
	for p, owner := range after {
		if before[p] != owner && !allowed(p) {
			r.Errorf("%s moved from %s to %s", p, before[p], owner)
		}
	}
}
