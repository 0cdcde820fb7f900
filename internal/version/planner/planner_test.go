package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func newRequest(count int) Request {
	d := &declarer.Declarations{
		Regions: []declarer.Region{{Name: "purba-medinipur", DataCentres: []declarer.DataCentre{{Name: "digha"}, {Name: "haldia"}}}},
		Teams:   []declarer.Team{{Name: "surveys", Quota: declarer.Resources{Cores: 1000, MemoryGB: 1000}, Weight: 1}},
	}
	request := Request{
		Intent: &declarer.Intent{
			Name: "census", Team: "surveys", Class: "survey", Kind: declarer.KindRunBy, Count: count,
			Resources: declarer.Resources{Cores: 4, MemoryGB: 1}, Within: time.Hour, ExpectedRun: time.Minute,
		},
		Version: &declarer.Version{Number: 7, Declarations: d},
		Policy:  placer.NewInterferenceAware(),
	}
	for _, centre := range []string{"digha", "haldia"} {
		shard := &kumquatv1.ShardStatusResponse{Shard: "shard:" + centre}
		for i := range 2 {
			shard.Workers = append(shard.Workers, &kumquatv1.WorkerStatus{
				Worker: fmt.Sprintf("%s-%d", centre, i), Rack: centre, DataCentre: centre, Reachable: true,
				Capacity: &kumquatv1.Resources{MilliCores: 8000, MemoryBytes: 1 << 36},
			})
		}
		request.Shards = append(request.Shards, shard)
	}
	return request
}

func TestPlan(t *testing.T) {
	t.Run("places the tasks that fit and allocates the others", func(t *testing.T) {
		plan := Plan(newRequest(11), noon)
		assertCounts(t, plan, 8, 3, 0)
		assertRanges(t, plan)
	})
	t.Run("skips a data centre that is out of service", func(t *testing.T) {
		request := newRequest(8)
		request.Version.Declarations = request.Version.Declarations.WithDataCentre("digha", true)
		plan := Plan(request, noon)
		assertCounts(t, plan, 4, 4, 0)
		assertRanges(t, plan)
	})
	t.Run("places only in the data centres that the intent names", func(t *testing.T) {
		request := newRequest(8)
		request.Intent.DataCentres = []string{"haldia"}
		plan := Plan(request, noon)
		assertCounts(t, plan, 4, 4, 0)
		if len(plan.DataCentres) != 1 || len(plan.Shards) != 1 || plan.Shards[0].DataCentre != "haldia" {
			t.Errorf("data centres %v and shards %v, want haldia alone", plan.DataCentres, plan.Shards)
		}
	})
	t.Run("lists the tasks that would be throttled", func(t *testing.T) {
		request := newRequest(1)
		request.Intent.Kind = declarer.KindRunNow
		request.Intent.DataCentres = []string{"digha"}
		request.Shards[0].Workers = request.Shards[0].Workers[:1]
		request.Shards[0].Tasks = []*kumquatv1.Task{{
			Id: "survey/0", Worker: "digha-0", State: kumquatv1.TaskState_TASK_STATE_ASSIGNED,
			Declared: &kumquatv1.Resources{MilliCores: 4000}, Size: &kumquatv1.Resources{MilliCores: 8000},
		}}
		plan := Plan(request, noon)
		if got := plan.Displacements; len(got) != 1 || got[0].Task != "survey/0" || got[0].Action != "throttle" {
			t.Errorf("displacements %v, want a throttle of survey/0", got)
		}
	})
	t.Run("rejects a task that fits no worker", func(t *testing.T) {
		request := newRequest(1)
		request.Intent.Resources.Cores = 9
		assertCounts(t, Plan(request, noon), 0, 0, 1)
	})
}

func TestIsIntact(t *testing.T) {
	if !IsIntact(Plan(newRequest(4), noon)) {
		t.Error("an unchanged plan is reported as not intact")
	}
	for name, edit := range map[string]func(*kumquatv1.Plan){
		"intent":   func(p *kumquatv1.Plan) { p.Intent = "other" },
		"document": func(p *kumquatv1.Plan) { p.Document += "#" },
		"count":    func(p *kumquatv1.Plan) { p.Count++ },
		"deadline": func(p *kumquatv1.Plan) { p.DeadlineUnixMillis++ },
		"version":  func(p *kumquatv1.Plan) { p.ConfigurationVersion++ },
		"places":   func(p *kumquatv1.Plan) { p.Placements = p.Placements[1:] },
		"worker":   func(p *kumquatv1.Plan) { p.Placements[0].Worker = "haldia-9" },
		"time":     func(p *kumquatv1.Plan) { p.PlannedUnixMillis++ },
	} {
		plan := Plan(newRequest(4), noon)
		if edit(plan); IsIntact(plan) {
			t.Errorf("a plan with a changed %s is reported as intact", name)
		}
	}
}

func TestChanges(t *testing.T) {
	old := Plan(newRequest(4), noon)
	t.Run("none when nothing changed", func(t *testing.T) {
		assertChanges(t, old, newRequest(4), 0)
	})
	t.Run("a newer configuration", func(t *testing.T) {
		request := newRequest(4)
		request.Version = &declarer.Version{Number: 8, Declarations: request.Version.Declarations}
		assertChanges(t, old, request, 1)
	})
	t.Run("fewer workers", func(t *testing.T) {
		request := newRequest(4)
		request.Shards = request.Shards[:1]
		request.Shards[0].Workers = request.Shards[0].Workers[:1]
		assertChanges(t, old, request, 1)
	})
}

func assertCounts(t *testing.T, plan *kumquatv1.Plan, placed, waiting, rejected int) {
	t.Helper()
	if len(plan.Placements) != placed || len(plan.Waiting) != waiting || len(plan.Rejections) != rejected {
		t.Errorf("placed %d, waiting %d, rejected %d; want %d, %d, %d",
			len(plan.Placements), len(plan.Waiting), len(plan.Rejections), placed, waiting, rejected)
	}
}

// assertRanges checks that the shards' ranges cover every task and that each
// placement lies in the range of its data centre.
func assertRanges(t *testing.T, plan *kumquatv1.Plan) {
	t.Helper()
	dataCentres := map[string]string{}
	for _, shard := range plan.Shards {
		for n := shard.First; n < shard.First+shard.Count; n++ {
			dataCentres[TaskID(plan.Intent, int(n))] = shard.DataCentre
		}
	}
	if len(dataCentres) != int(plan.Count) {
		t.Errorf("ranges hold %d tasks, want %d", len(dataCentres), plan.Count)
	}
	for _, placement := range plan.Placements {
		if dataCentres[placement.Task] != placement.DataCentre {
			t.Errorf("%s is placed in %s but belongs to %s", placement.Task, placement.DataCentre, dataCentres[placement.Task])
		}
	}
}

func assertChanges(t *testing.T, old *kumquatv1.Plan, request Request, want int) {
	t.Helper()
	if got := Changes(old, Plan(request, noon)); len(got) != want {
		t.Errorf("changes = %q, want %d", got, want)
	}
}
