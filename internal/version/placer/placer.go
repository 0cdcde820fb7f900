// Package placer chooses workers for tasks. Its functions are pure: they work
// on immutable snapshots and take the present time as an argument.
package placer

import "time"

// fullPercent is the whole of a percentage.
const fullPercent = 100

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	MilliCores   int64
	MemoryBytes  int64
	Accelerators int64
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryBytes:  r.MemoryBytes + other.MemoryBytes,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryBytes:  r.MemoryBytes - other.MemoryBytes,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Max returns the larger amount of each kind.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, other.MilliCores),
		MemoryBytes:  max(r.MemoryBytes, other.MemoryBytes),
		Accelerators: max(r.Accelerators, other.Accelerators),
	}
}

// Fits reports whether the amounts fit into the capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores &&
		r.MemoryBytes <= capacity.MemoryBytes &&
		r.Accelerators <= capacity.Accelerators
}

// A Resident is a task bound to a worker.
type Resident struct {
	Task            string
	Intent          string
	Team            string
	Class           string
	LatencyCritical bool
	Urgent          bool
	// Size is the larger of declared and learned use.
	Size Resources
	// Declared is the declared size. A throttle frees nothing of it, because
	// the worker was given that much.
	Declared Resources
	// Throttle is the percentage of processors that is withheld to make room.
	Throttle int
	// Progress is the time since the last checkpoint, lost by an eviction.
	Progress time.Duration
	// Pinned residents are never evicted: they are stopping or have been
	// evicted too often.
	Pinned bool
}

// A Worker is one machine of a snapshot.
type Worker struct {
	Name        string
	Rack        string
	DataCentre  string
	Capacity    Resources
	Residents   []Resident
	Quarantined bool
	Leaving     bool
}

// Committed returns what the resident may use under its throttle.
func (r *Resident) Committed() Resources {
	committed := r.Size
	throttled := committed.MilliCores * int64(fullPercent-r.Throttle) / fullPercent
	committed.MilliCores = max(throttled, min(r.Declared.MilliCores, r.Size.MilliCores))
	return committed
}

// freedBy returns what a displacement of the resident frees.
func (r *Resident) freedBy(displacement Displacement) Resources {
	if displacement.Throttle == 0 {
		return r.Committed()
	}
	throttled := *r
	throttled.Throttle = displacement.Throttle
	return r.Committed().Minus(throttled.Committed())
}

// Free returns the capacity that no resident is committed to.
func (w *Worker) Free() Resources {
	free := w.Capacity
	for i := range w.Residents {
		free = free.Minus(w.Residents[i].Committed())
	}
	return free
}

// A Task is a task that needs a worker.
type Task struct {
	ID              string
	Intent          string
	Team            string
	Class           string
	Size            Resources
	LatencyCritical bool
	Urgent          bool
	// Spread keeps tasks of the same intent apart over racks.
	Spread bool
	// Avoid lists workers on which the task has failed.
	Avoid []string
	// Submitted orders tasks of equal rank.
	Submitted time.Time
	// Deadline is the time by which the task should finish; zero if none.
	Deadline time.Time
}

// A Quota is a team's limit and use.
type Quota struct {
	Limit  Resources
	Used   Resources
	Weight int
}

// A Snapshot is the state that a decision is made on. It is never modified.
type Snapshot struct {
	Workers []Worker
	Quotas  map[string]Quota
	// Slowdown estimates by how many percent each core of a batch class slows a
	// service class on the same worker; nil stands for no interference.
	Slowdown func(service, batch string) float64
	// SlowdownLimit is the estimated slowdown of a service, in percent, beyond
	// which no batch task is added to its worker; zero sets no limit.
	SlowdownLimit float64
}

// A Displacement is a resident that has to make room.
type Displacement struct {
	Task   string
	Worker string
	// Throttle is the new percentage to withhold; zero means eviction.
	Throttle int
}

// A Choice binds a task to a worker.
type Choice struct {
	Task          string
	Worker        string
	Why           string
	Displacements []Displacement
}

// A Rejection tells why a task was not placed.
type Rejection struct {
	Task   string
	Reason string
	// Permanent rejections hold however many tasks finish.
	Permanent bool
}

// A Decision is the outcome of placing a set of tasks.
type Decision struct {
	Choices    []Choice
	Rejections []Rejection
}

// A Policy places tasks on the workers of a snapshot.
type Policy interface {
	Place(snapshot *Snapshot, tasks []Task, now time.Time) Decision
}
