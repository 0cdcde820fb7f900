package commander

import (
	"crypto/rand"
	"maps"
	"sync"
)

// nameLength is the number of characters of a set's name, five bits each. A name
// only has to differ from the name of the previous set.
const nameLength = 8

// A renewedSet is the set of runs that a worker last renewed. Each set has a new
// random name. A renewedSet is safe for concurrent use.
type renewedSet struct {
	mu   sync.Mutex
	name string
	ids  map[RunID]bool
}

// request returns the request for a renewal: the difference from the last set, or
// the whole set if that is shorter or no last set is known.
func (r *renewedSet) request(renewal Renewal) RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := rand.Text()[:nameLength]
	if r.name == "" {
		return wholeRequest(renewal, name)
	}
	request := RenewRequest{Fence: renewal.Fence, Lease: renewal.Lease, Base: r.name, Forget: renewal.Forget}
	wanted := setOf(renewal.IDs)
	forgotten := setOf(renewal.Forget)
	for _, id := range renewal.IDs {
		if !r.ids[id] {
			request.IDs = append(request.IDs, id)
		}
	}
	for id := range r.ids {
		if !wanted[id] && !forgotten[id] {
			request.Dropped = append(request.Dropped, id)
		}
	}
	if len(request.IDs)+len(request.Dropped) > len(renewal.IDs) {
		return wholeRequest(renewal, name)
	}
	if !maps.Equal(wanted, r.ids) {
		request.Set = name
	}
	return request
}

// wholeRequest returns a request that contains every run.
func wholeRequest(renewal Renewal, name string) RenewRequest {
	return RenewRequest{Fence: renewal.Fence, Lease: renewal.Lease, IDs: renewal.IDs, Forget: renewal.Forget, Set: name}
}

// remember records that the worker knows the set of these runs by a name.
func (r *renewedSet) remember(name string, ids []RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.name = name
	r.ids = setOf(ids)
}

// forget makes the next request contain every run.
func (r *renewedSet) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.name = ""
	r.ids = nil
}

func setOf(ids []RunID) map[RunID]bool {
	set := make(map[RunID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
