// Package pacer decides how fast best-effort tasks may run beside services.
//
// Load: services whose own load rises and falls by half within seconds, with
// best-effort tasks beside them that fit while it is low. Stopping these tasks each time
// it rises costs more than they achieve in between, as each restart takes longer than
// the load takes to change.
package pacer

import (
	"cmp"
	"slices"
)

// Full is the pace of a task that nothing slows down, in percent.
const Full = 100

// Parameters of the change of paces.
const (
	// step is the unit of paces, and the least change of a pace that is made slower.
	step = 10
	// leastGain is the least change of a pace that is made faster, other than to Full.
	leastGain = 20
)

// A Task is a best-effort task on a host.
type Task struct {
	// Shares are the shares of the capacity of each service on the host that the task
	// takes at full pace.
	Shares []float64
	// Pace is the current pace, in percent.
	Pace int
}

// Paces returns the pace of each task, so that all tasks together take no more of each
// service than the share of its capacity in room. Tasks that take the smallest part of
// the room go first, which lets the most tasks run.
func Paces(room []float64, tasks []Task) []int {
	left := slices.Clone(room)
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(tasks[a].part(room), tasks[b].part(room)),
			cmp.Compare(tasks[b].Pace, tasks[a].Pace),
		)
	})
	paces := make([]int, len(tasks))
	for _, i := range order {
		paces[i] = tasks[i].next(left)
		for service, share := range tasks[i].Shares {
			left[service] -= share * float64(paces[i]) / Full
		}
	}
	return paces
}

// negligible is a share of a service's capacity that a task may take even where there
// is no room.
const negligible = 0.004

// part returns the largest part of the room of any service that a task takes.
func (t Task) part(room []float64) (largest float64) {
	const leastRoom = 0.01
	for service, share := range t.Shares {
		largest = max(largest, share/max(leastRoom, room[service]))
	}
	return largest
}

// next returns the pace of a task that may take the given shares of the services.
func (t Task) next(left []float64) int {
	pace := 1.0
	for service, share := range t.Shares {
		if share > negligible {
			pace = min(pace, max(0, left[service]/share))
		}
	}
	next := int(pace*Full) / step * step
	if next > t.Pace && next < Full && next < t.Pace+leastGain {
		return t.Pace
	}
	return next
}
