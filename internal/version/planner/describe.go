package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// addDecision adds the placements, displacements and rejections of a decision to
// a plan. Tasks that were rejected for the time being are added as waiting.
func addDecision(plan *kumquatv1.Plan, decision placer.Decision, snapshot *placer.Snapshot) {
	dataCentres := make(map[string]string, len(snapshot.Workers))
	for i := range snapshot.Workers {
		dataCentres[snapshot.Workers[i].Name] = snapshot.Workers[i].DataCentre
	}
	for _, choice := range decision.Choices {
		plan.Placements = append(plan.Placements, &kumquatv1.Placement{
			Task:       choice.Task,
			Worker:     choice.Worker,
			DataCentre: dataCentres[choice.Worker],
			Why:        choice.Why,
		})
		for _, displacement := range choice.Displacements {
			plan.Displacements = append(plan.Displacements, &kumquatv1.Displacement{
				Task:   displacement.Task,
				Worker: displacement.Worker,
				Action: actionOf(displacement),
			})
		}
	}
	for _, rejection := range decision.Rejections {
		if rejection.Permanent {
			plan.Rejections = append(plan.Rejections, &kumquatv1.Rejection{Task: rejection.Task, Reason: rejection.Reason})
		} else {
			plan.Waiting = append(plan.Waiting, rejection.Task)
		}
	}
}

func actionOf(displacement placer.Displacement) string {
	if displacement.Throttle > 0 {
		return "throttle"
	}
	return "evict"
}

// assignToShards divides the tasks among the shards of the data centres: each placed
// task goes to the data centre of its worker, and the others are divided evenly.
// Tasks are renumbered so that the ids of each shard form one range.
func assignToShards(plan *kumquatv1.Plan, centres []string) {
	if len(centres) == 0 {
		return
	}
	placed := make(map[string]int)
	for _, placement := range plan.Placements {
		placed[placement.DataCentre]++
	}
	counts := make(map[string]int, len(centres))
	unplaced := int(plan.Count) - len(plan.Placements)
	for i, centre := range centres {
		counts[centre] = placed[centre] + unplaced/len(centres)
		if i < unplaced%len(centres) {
			counts[centre]++
		}
	}
	first := 0
	for _, centre := range centres {
		if counts[centre] == 0 {
			continue
		}
		plan.Shards = append(plan.Shards, &kumquatv1.ShardTasks{
			DataCentre: centre,
			First:      int32(first),
			Count:      int32(counts[centre]),
		})
		first += counts[centre]
	}
	renumber(plan)
}

// renumber gives placements and waiting tasks new ids from their shard's range,
// placements first. If tasks are rejected, the waiting ones keep their ids.
func renumber(plan *kumquatv1.Plan) {
	next := make(map[string]int32, len(plan.Shards))
	for _, shard := range plan.Shards {
		next[shard.DataCentre] = shard.First
	}
	for _, placement := range plan.Placements {
		placement.Task = TaskID(plan.Intent, int(next[placement.DataCentre]))
		next[placement.DataCentre]++
	}
	if len(plan.Rejections) > 0 {
		return
	}
	plan.Waiting = plan.Waiting[:0]
	for _, shard := range plan.Shards {
		for n := next[shard.DataCentre]; n < shard.First+shard.Count; n++ {
			plan.Waiting = append(plan.Waiting, TaskID(plan.Intent, int(n)))
		}
	}
}

// addQuota adds the team's quota and its usage before and after the placements.
func addQuota(plan *kumquatv1.Plan, snapshot *placer.Snapshot, d *declarer.Declarations) {
	team, ok := d.Team(plan.Team)
	if !ok {
		return
	}
	plan.QuotaLimit = declaredToProto(team.Quota)
	before := snapshot.Quotas[plan.Team].Used
	after := before
	for range plan.Placements {
		after = after.Plus(sizeFromProto(plan.Resources))
	}
	plan.QuotaBefore = sizeToProto(before)
	plan.QuotaAfter = sizeToProto(after)
}

// addTimes adds the expected start of the first task and the expected finish of
// the last task to a plan. A plan without placements has neither time.
func addTimes(plan *kumquatv1.Plan, intent *declarer.Intent, now time.Time) {
	if len(plan.Placements) == 0 {
		return
	}
	plan.ExpectedStartUnixMillis = now.UnixMilli()
	if intent.ExpectedRun == 0 {
		return
	}
	waves := (int(plan.Count) + len(plan.Placements) - 1) / len(plan.Placements)
	plan.ExpectedFinishUnixMillis = now.Add(time.Duration(waves) * intent.ExpectedRun).UnixMilli()
}

// digest returns a hash of the parts of a plan that an operator confirms.
func digest(plan *kumquatv1.Plan) string {
	h := xxhash.New()
	write := func(format string, values ...any) {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(h, format+"\n", values...)
	}
	write("%s %d", plan.Document, plan.ConfigurationVersion)
	write("%s %s %d %d", plan.Team, plan.Class, plan.Count, plan.DeadlineUnixMillis)
	for _, placement := range plan.Placements {
		write("%s %s", placement.Task, placement.Worker)
	}
	for _, displacement := range plan.Displacements {
		write("%s %s %s", displacement.Task, displacement.Worker, displacement.Action)
	}
	for _, rejection := range plan.Rejections {
		write("%s %s", rejection.Task, rejection.Reason)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Changes compares an old plan with the current plan of the same intent. It
// returns one line for each fact that the old plan showed to the operator and
// that is no longer true, or none if the old plan is still valid.
func Changes(old, current *kumquatv1.Plan) []string {
	var changes []string
	add := func(format string, values ...any) { changes = append(changes, fmt.Sprintf(format, values...)) }
	if old.ConfigurationVersion != current.ConfigurationVersion {
		add("the configuration is now version %d instead of %d", current.ConfigurationVersion, old.ConfigurationVersion)
	}
	if len(current.Placements) < len(old.Placements) {
		add("%d tasks can start now instead of %d", len(current.Placements), len(old.Placements))
	}
	for _, rejection := range current.Rejections {
		add("%s can't run: %s", rejection.Task, rejection.Reason)
	}
	if a, b := displaced(old), displaced(current); !slices.Equal(a, b) {
		add("displacements are now [%s] instead of [%s]", strings.Join(b, " "), strings.Join(a, " "))
	}
	return changes
}

// displaced returns the actions by which a plan displaces tasks, sorted, for
// example "evict survey/0".
func displaced(plan *kumquatv1.Plan) []string {
	var tasks []string
	for _, displacement := range plan.Displacements {
		tasks = append(tasks, displacement.Action+" "+displacement.Task)
	}
	slices.Sort(tasks)
	return tasks
}
