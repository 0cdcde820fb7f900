package placer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const gigabyte = 1 << 30

func size(cores int64, memoryGB int64) Resources {
	return Resources{MilliCores: cores * 1000, MemoryBytes: memoryGB * gigabyte}
}

func fleet(n int) *Snapshot {
	s := &Snapshot{Quotas: map[string]Quota{}}
	for i := range n {
		s.Workers = append(s.Workers, Worker{
			Name:       fmt.Sprintf("w%03d", i),
			Rack:       fmt.Sprintf("r%02d", i/8),
			DataCentre: "atl-a",
			Capacity:   size(32, 125),
		})
	}
	return s
}

func TestPlaceRefusesWhatNeverFits(t *testing.T) {
	d := NewInterferenceAware().Place(fleet(2), []Task{{ID: "a", Size: size(33, 1)}}, epoch)
	assertRejected(t, d, "a", true)
}

func TestPlaceKeepsQuota(t *testing.T) {
	s := fleet(2)
	s.Quotas["prints"] = Quota{Limit: size(4, 100), Used: size(3, 1), Weight: 1}
	d := NewInterferenceAware().Place(s, []Task{{ID: "a", Team: "prints", Size: size(2, 1)}}, epoch)
	assertRejected(t, d, "a", false)
}

func TestPlaceSharesFairly(t *testing.T) {
	s := fleet(1)
	s.Quotas["a"] = Quota{Limit: size(100, 1000), Weight: 1}
	s.Quotas["b"] = Quota{Limit: size(100, 1000), Weight: 3}
	var tasks []Task
	for i := range 32 {
		tasks = append(tasks, Task{ID: fmt.Sprintf("a%d", i), Team: "a", Size: size(1, 1)})
		tasks = append(tasks, Task{ID: fmt.Sprintf("b%d", i), Team: "b", Size: size(1, 1)})
	}
	placed := map[byte]int{}
	for _, choice := range NewInterferenceAware().Place(s, tasks, epoch).Choices {
		placed[choice.Task[0]]++
	}
	if placed['a'] != 8 || placed['b'] != 24 {
		t.Errorf("placed %d of a and %d of b, want 8 and 24", placed['a'], placed['b'])
	}
}

func TestPlaceSpreadsReplicas(t *testing.T) {
	tasks := make([]Task, 4)
	for i := range tasks {
		tasks[i] = Task{ID: fmt.Sprintf("m%d", i), Intent: "monitor", LatencyCritical: true, Size: size(1, 1)}
	}
	racks := map[byte]bool{}
	for _, choice := range NewInterferenceAware().Place(fleet(32), tasks, epoch).Choices {
		var number int
		if _, err := fmt.Sscanf(choice.Worker, "w%d", &number); err != nil {
			t.Fatal(err)
		}
		racks[byte(number/8)] = true
	}
	if len(racks) != 4 {
		t.Errorf("replicas use %d racks, want 4", len(racks))
	}
}

func TestPlaceDisplacesForUrgent(t *testing.T) {
	urgent := []Task{{ID: "u", Urgent: true, Size: size(4, 1)}}
	t.Run("throttles when only processors are missing", func(t *testing.T) {
		s := fleet(1)
		s.Workers[0].Residents = []Resident{{Task: "b", Size: size(32, 10)}}
		assertDisplaced(t, NewInterferenceAware().Place(s, urgent, epoch), Displacement{Task: "b", Worker: "w000", Throttle: maxThrottle})
	})
	t.Run("withholds only processors beyond the declared size", func(t *testing.T) {
		s := fleet(1)
		s.Workers[0].Residents = []Resident{
			{Task: "small", Size: size(12, 10), Declared: size(11, 10)},
			{Task: "large", Size: size(20, 10), Declared: size(15, 10)},
		}
		assertDisplaced(t, NewInterferenceAware().Place(s, urgent, epoch), Displacement{Task: "large", Worker: "w000", Throttle: 25})
	})
	t.Run("evicts when throttling is not enough", func(t *testing.T) {
		s := fleet(1)
		s.Workers[0].Residents = []Resident{{Task: "b", Size: size(32, 10), Declared: size(31, 10)}}
		assertDisplaced(t, NewInterferenceAware().Place(s, urgent, epoch), Displacement{Task: "b", Worker: "w000"})
	})
	t.Run("evicts the least progress when memory is missing", func(t *testing.T) {
		s := fleet(1)
		s.Workers[0].Residents = []Resident{
			{Task: "long", Size: size(1, 62), Progress: time.Hour},
			{Task: "short", Size: size(1, 63), Progress: time.Minute},
		}
		assertDisplaced(t, NewInterferenceAware().Place(s, urgent, epoch), Displacement{Task: "short", Worker: "w000"})
	})
	t.Run("never evicts services", func(t *testing.T) {
		s := fleet(1)
		s.Workers[0].Residents = []Resident{{Task: "s", LatencyCritical: true, Size: size(32, 125)}}
		assertRejected(t, NewInterferenceAware().Place(s, urgent, epoch), "u", false)
	})
}

func TestPlaceAvoidsInterference(t *testing.T) {
	s := fleet(2)
	s.Workers[0].Residents = []Resident{{Task: "svc", Class: "order", LatencyCritical: true, Size: size(20, 10)}}
	s.Slowdown = func(service, batch string) float64 { return 10 }
	d := NewInterferenceAware().Place(s, []Task{{ID: "b", Class: "render", Size: size(4, 4)}}, epoch)
	if len(d.Choices) != 1 || d.Choices[0].Worker != "w001" {
		t.Errorf("choices = %+v, want b on w001", d.Choices)
	}
}

func TestPlaceKeepsSlowdownLimit(t *testing.T) {
	s := fleet(1)
	s.Workers[0].Residents = []Resident{{Task: "svc", Class: "order", LatencyCritical: true, Size: size(8, 10)}}
	s.Slowdown = func(service, batch string) float64 { return 2 }
	s.SlowdownLimit = 10
	tasks := []Task{
		{ID: "a", Class: "render", Size: size(3, 4)},
		{ID: "b", Class: "render", Size: size(3, 4)},
	}
	t.Run("the first batch task fits, the second waits", func(t *testing.T) {
		d := NewInterferenceAware().Place(s, tasks, epoch)
		if len(d.Choices) != 1 || len(d.Rejections) != 1 || d.Rejections[0].Permanent {
			t.Errorf("decision = %+v, want one choice and one temporary rejection", d)
		}
	})
	t.Run("urgent tasks are not limited", func(t *testing.T) {
		tasks[0].Urgent, tasks[1].Urgent = true, true
		if d := NewInterferenceAware().Place(s, tasks, epoch); len(d.Choices) != 2 {
			t.Errorf("decision = %+v, want two choices", d)
		}
	})
}

// For random tasks, every policy keeps each worker within its capacity,
// counting what displacements free, and decides about each task once.
func TestPlaceNeverExceedsCapacity(t *testing.T) {
	policies := map[string]Policy{
		"protective": NewInterferenceAware(), "firstFit": NewFirstFit(),
		"leastLoaded": NewLeastLoaded(), "unaware": NewInterferenceUnaware(),
	}
	for name, policy := range policies {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				s := fleet(rapid.IntRange(1, 5).Draw(rt, "workers"))
				s.Workers[0].Residents = []Resident{{Task: "old", Size: size(20, 100), Declared: size(15, 100)}}
				var tasks []Task
				for i := range rapid.IntRange(0, 60).Draw(rt, "tasks") {
					tasks = append(tasks, Task{
						ID:              fmt.Sprintf("t%d", i),
						Size:            size(rapid.Int64Range(0, 40).Draw(rt, "cores"), rapid.Int64Range(0, 130).Draw(rt, "memory")),
						Urgent:          rapid.Bool().Draw(rt, "urgent"),
						LatencyCritical: rapid.Bool().Draw(rt, "critical"),
					})
				}
				assertWithinCapacity(rt, s, tasks, policy.Place(s, tasks, epoch))
			})
		})
	}
}

func BenchmarkPlaceFromEmpty(b *testing.B) {
	s := fleet(440)
	s.Slowdown = func(service, batch string) float64 { return 0.5 }
	tasks := make([]Task, 12000)
	for i := range tasks {
		tasks[i] = Task{ID: fmt.Sprint(i), Team: fmt.Sprint(i % 78), Class: fmt.Sprint(i % 5), Size: Resources{MilliCores: 1000, MemoryBytes: gigabyte}}
	}
	for b.Loop() {
		NewInterferenceAware().Place(s, tasks, epoch)
	}
}

func BenchmarkPlaceOne(b *testing.B) {
	s := fleet(55)
	for i := range s.Workers {
		for j := range 27 {
			s.Workers[i].Residents = append(s.Workers[i].Residents, Resident{Task: fmt.Sprint(i, j), Class: fmt.Sprint(j % 5), Size: Resources{MilliCores: 900}})
		}
	}
	s.Slowdown = func(service, batch string) float64 { return 0.5 }
	for b.Loop() {
		NewInterferenceAware().Place(s, []Task{{ID: "x", Size: size(1, 1)}}, epoch)
	}
}

func assertRejected(t *testing.T, d Decision, task string, permanent bool) {
	t.Helper()
	if len(d.Choices) != 0 || len(d.Rejections) != 1 {
		t.Fatalf("decision = %+v, want one rejection", d)
	}
	if got := d.Rejections[0]; got.Task != task || got.Permanent != permanent {
		t.Errorf("rejection = %+v, want %s, permanent %t", got, task, permanent)
	}
}

func assertDisplaced(t *testing.T, d Decision, want Displacement) {
	t.Helper()
	if len(d.Choices) != 1 || len(d.Choices[0].Displacements) != 1 {
		t.Fatalf("decision = %+v, want one displacement", d)
	}
	if got := d.Choices[0].Displacements[0]; got != want {
		t.Errorf("displacement = %+v, want %+v", got, want)
	}
}

// assertWithinCapacity replays the choices in order and fails if one exceeds
// the free capacity of its worker.
func assertWithinCapacity(t *rapid.T, s *Snapshot, tasks []Task, d Decision) {
	t.Helper()
	sizes := map[string]Resources{}
	for _, task := range tasks {
		sizes[task.ID] = task.Size
	}
	free := map[string]Resources{}
	residents := map[string]*Resident{}
	for i := range s.Workers {
		free[s.Workers[i].Name] = s.Workers[i].Free()
		for j := range s.Workers[i].Residents {
			residents[s.Workers[i].Residents[j].Task] = &s.Workers[i].Residents[j]
		}
	}
	for _, choice := range d.Choices {
		for _, displacement := range choice.Displacements {
			free[choice.Worker] = free[choice.Worker].Plus(residents[displacement.Task].freedBy(displacement))
		}
		free[choice.Worker] = free[choice.Worker].Minus(sizes[choice.Task])
		if !(Resources{}).Fits(free[choice.Worker]) {
			t.Fatalf("%s over capacity by %+v after %s", choice.Worker, free[choice.Worker], choice.Task)
		}
	}
	if len(d.Choices)+len(d.Rejections) != len(tasks) {
		t.Fatalf("%d choices and %d rejections for %d tasks", len(d.Choices), len(d.Rejections), len(tasks))
	}
}
