package pacer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestPaces(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		room  []float64
		tasks []Task
		want  []int
	}{
		{"no service", nil, []Task{{Pace: 40}}, []int{100}},
		{"room for all", []float64{0.3}, []Task{{[]float64{0.1}, 100}, {[]float64{0.1}, 100}}, []int{100, 100}},
		{"room for half", []float64{0.05}, []Task{{[]float64{0.1}, 100}}, []int{50}},
		{"no room", []float64{-0.1}, []Task{{[]float64{0.1}, 100}}, []int{0}},
		{"no room, and a task that hardly disturbs", []float64{-0.1}, []Task{{[]float64{0.002}, 100}}, []int{100}},
		{"the one that disturbs least goes first", []float64{0.2}, []Task{{[]float64{0.4}, 100}, {[]float64{0.1}, 100}}, []int{20, 100}},
		{"the service with the least room decides", []float64{0.5, 0.02}, []Task{{[]float64{0.1, 0.1}, 100}}, []int{20}},
		{"a small gain is not worth a change", []float64{0.05}, []Task{{[]float64{0.1}, 40}}, []int{40}},
		{"a small loss is", []float64{0.03}, []Task{{[]float64{0.1}, 40}}, []int{30}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := Paces(c.room, c.tasks); !slices.Equal(got, c.want) {
				t.Errorf("paces %v, want %v", got, c.want)
			}
		})
	}
}

// Whatever the room, tasks that take more than a negligible share never take more than
// the room together.
func TestPacesStayWithinRoom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		room := rapid.SliceOfN(rapid.Float64Range(-0.2, 0.8), 1, 3).Draw(r, "room")
		tasks := make([]Task, rapid.IntRange(1, 6).Draw(r, "tasks"))
		for i := range tasks {
			tasks[i].Shares = rapid.SliceOfN(rapid.Float64Range(0.01, 0.5), len(room), len(room)).Draw(r, "shares")
			tasks[i].Pace = 10 * rapid.IntRange(0, 10).Draw(r, "pace")
		}
		paces := Paces(room, tasks)
		for service := range room {
			taken := 0.0
			for i, pace := range paces {
				if pace < 0 || pace > Full {
					r.Fatalf("pace %d", pace)
				}
				taken += tasks[i].Shares[service] * float64(pace) / Full
			}
			if taken > max(0, room[service])+1e-9 {
				r.Errorf("service %d: tasks take %.3f of %.3f at paces %v", service, taken, room[service], paces)
			}
		}
	})
}
